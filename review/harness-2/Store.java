import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the platform's store: ranges, watches and revisions, nothing else. */
final class Store implements AutoCloseable {
    private record Event(String key, String value, long revision) {}

    private final Map<String, Event> items = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private final Web server;

    Store(String host) throws Exception {
        server = new Web(host, this::answer);
    }

    String address() {
        return server.address();
    }

    synchronized long put(String key, String json) {
        revision++;
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        Event event = new Event(key, value, revision);
        items.put(key, event);
        history.add(event);
        notifyAll();
        return revision;
    }

    synchronized long delete(String key) {
        revision++;
        items.remove(key);
        history.add(new Event(key, null, revision));
        notifyAll();
        return revision;
    }

    private void answer(Web.Request request, Web.Channel channel) throws Exception {
        Map<String, String> query = request.query();
        String prefix = query.getOrDefault("Prefix", "");
        if (request.path().equals("/api/kv-range")) {
            channel.reply(200, "Content-Type: application/json\r\nStore-Era: 1\r\n", range(prefix));
        } else if (request.path().equals("/api/kv-watch")) {
            long after = Long.parseLong(query.get("After"));
            long wait = Long.parseLong(query.getOrDefault("WaitMs", "0"));
            channel.reply(
                200, "Content-Type: application/json\r\nStore-Era: 1\r\n", watch(prefix, after, wait));
        } else {
            channel.reply(404, "Store-Era: 1\r\n", "{}");
        }
    }

    private synchronized String range(String prefix) {
        StringBuilder text = new StringBuilder("{\"Items\":[");
        String separator = "";
        for (Event item : items.values()) {
            if (!item.key.startsWith(prefix)) continue;
            text.append(separator).append(json(item));
            separator = ",";
        }
        return text.append("],\"HasMore\":false,\"At\":").append(revision).append('}').toString();
    }

    private synchronized String watch(String prefix, long after, long waitMillis) throws Exception {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            StringBuilder text = new StringBuilder("{\"events\":[");
            String separator = "";
            for (Event event : history) {
                if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                text.append(separator).append(json(event));
                separator = ",";
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!separator.isEmpty() || left <= 0) {
                return text.append("],\"At\":").append(revision).append('}').toString();
            }
            wait(left);
        }
    }

    private static String json(Event event) {
        String start = "{\"Key\":\"" + event.key + "\",\"Revision\":" + event.revision;
        if (event.value == null) return start + ",\"Deleted\":true}";
        return start + ",\"Value\":\"" + event.value + "\",\"Created\":" + event.revision
            + ",\"Lease\":0}";
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
