import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound replica of a plain service that records what it runs. */
class Replica implements AutoCloseable {
    final String id;
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final List<String> order = new CopyOnWriteArrayList<>();
    volatile int workMillis = 30;
    private final Kit kit;
    private final Web server;

    Replica(Kit kit, String host, String id) throws Exception {
        this.kit = kit;
        this.id = id;
        server = new Web(host, this::serve);
    }

    String address() {
        return server.address();
    }

    private void serve(Web.Request request, Web.Channel channel) throws Exception {
        String request_ = request.header("Vanilladale-Request-Id");
        if (request.path().equals("/healthz")) {
            channel.reply(200, "Vanilladale-Instance-Id: " + id + "\r\n", "ok");
            return;
        }
        if (!id.equals(request.header("Vanilladale-Expect-Instance"))) {
            channel.reply(421, "Vanilladale-Instance-Id: " + id + "\r\n", "");
            return;
        }
        runs.merge(request_, 1, Integer::sum);
        order.add(request_);
        kit.say("replica " + id + " runs " + request_ + " " + request.method() + " "
            + request.target() + " of " + request.body().length + " bytes");
        Thread.sleep(workMillis);
        answer(request, request_, channel);
    }

    /** Answers a request that has run. */
    void answer(Web.Request request, String requestId, Web.Channel channel) throws Exception {
        channel.reply(200, head(requestId), "done " + requestId);
    }

    final String head(String requestId) {
        return "Vanilladale-Request-Id: " + requestId + "\r\nVanilladale-Server-Stamp: 3e1b." + id
            + "\r\nContent-Type: text/plain\r\n";
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
