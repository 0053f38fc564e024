import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.ArrayList;
import java.util.List;

/**
 * One of two replicas of a model answers streams with comments without end. Meanwhile other
 * requesters send plain requests, on another route, to sound replicas of another service.
 */
public final class EndlessComments {
    private static final int STREAMS = 24;
    private static final int SLOTS = 12;
    private static final int PLAIN_REQUESTS = 40;
    private static final long PLAIN_INTERVAL = 100;
    private static final long PLAIN_TIMEOUT = 1_500;
    private static final long LATE = PLAIN_TIMEOUT + 500;

    private final Fleet fleet;
    private final Fleet.Entry entry;
    private int unansweredAtTimeout;
    private int late;

    private EndlessComments(Fleet fleet, Fleet.Entry entry) {
        this.fleet = fleet;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("status", "/status/", "idempotent", PLAIN_TIMEOUT, 306, "app", 2, false)
            + "," + Fleet.route("notes", "/notes/", "streaming", 8_000, 501, "llm", 2, true)
            + "],\"Services\":[" + Fleet.service("app") + "," + Fleet.service("llm") + "],"
            + Fleet.LIMITS + "}");
        for (int i = 1; i <= 3; i++) new PlainReplica(fleet, "i-" + i).register(fleet, "app", 6);
        new StreamReplica(fleet, "i-11").register(fleet, "llm", SLOTS);
        if (fleet.trouble) {
            String address = fleet.new Listener("127.0.0.1", (socket, in, out) -> {
                Http.Message request = Http.read(in, false);
                String id = request.headers.get("Vanilladale-Request-Id");
                fleet.record("i-12: runs " + id + ", sends comments without end");
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Vanilladale-Request-Id: " + id + "\r\nVanilladale-Server-Stamp: stamp." + id
                    + "\r\n\r\n"));
                byte[] comments = new byte[1 << 16];
                Arrays.fill(comments, (byte) '\n');
                for (int i = 0; i < comments.length; i += 4) {
                    comments[i] = ':';
                    comments[i + 1] = 'x';
                }
                try {
                    while (true) {
                        out.write(comments);
                        out.flush();
                    }
                } finally {
                    fleet.record("i-12: the channel of " + id + " is closed");
                }
            }).address;
            fleet.store.put("servers/i-12", Fleet.replica("llm", address, SLOTS));
        } else {
            new StreamReplica(fleet, "i-12").register(fleet, "llm", SLOTS);
        }
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.start();
        entry.awaitReady();
        Thread.sleep(1_000);
        new EndlessComments(fleet, entry).run();
    }

    private void run() throws Exception {
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            Fleet.daemon(() -> stream(id));
        }
        Thread.sleep(500);
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < PLAIN_REQUESTS; i++) {
            String id = "status-" + i;
            requesters.add(Fleet.daemon(() -> plainRequest(id)));
            Thread.sleep(PLAIN_INTERVAL);
        }
        for (Thread requester : requesters) requester.join();
        fleet.finish(late >= 8 && late * 2 > unansweredAtTimeout,
            unansweredAtTimeout + " of " + PLAIN_REQUESTS + " requests to sound replicas were "
                + "unanswered at TimeoutMs, " + late + " of them half a second later (CONFIG: more "
                + "than half, eight or more)");
    }

    /** Reads a stream as fast as it comes. */
    private void stream(String id) {
        try (Socket socket = entry.connect()) {
            socket.getOutputStream().write(Fleet.request("POST", "/notes/new?events=24&pause=75",
                id, 8_000, "", new byte[700]));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[1 << 16];
            long bytes = 0;
            int read;
            long end = fleet.milliseconds() + 8_000;
            while ((read = in.read(buffer)) > 0 && fleet.milliseconds() < end) bytes += read;
            fleet.record(id + ": ended after " + bytes + " bytes");
        } catch (IOException failure) {
            fleet.record(id + ": " + failure.getMessage());
        }
    }

    private void plainRequest(String id) {
        long sentAt = fleet.milliseconds();
        String end;
        try (Socket socket = entry.connect()) {
            sentAt = fleet.milliseconds();
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(
                Fleet.request("GET", "/status/order?work=30", id, PLAIN_TIMEOUT, "", new byte[0]));
            Http.Message answer =
                Http.read(new BufferedInputStream(socket.getInputStream()), true);
            end = answer == null ? "channel closed" : "status " + answer.status();
        } catch (IOException failure) {
            end = failure.getMessage();
        }
        long took = fleet.milliseconds() - sentAt;
        synchronized (this) {
            if (took >= PLAIN_TIMEOUT) unansweredAtTimeout++;
            if (took >= LATE) late++;
        }
        fleet.record(id + ": " + end + " after " + took + " ms");
    }
}
