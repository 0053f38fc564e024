import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The reader of an entry's standard output stops reading. A few answers of the replicas are lost by a
 * reset of their channel.
 */
public final class StoppedLogReader {
    private static final long INTERVAL = 20;
    private static final long LENGTH = 20_000;
    private static final long READER_STOPS = 3_000;
    private static final long TIMEOUT = 1_500;
    private static final long LATE = TIMEOUT + 500;

    /** Share of the answers that are lost: `answer_lost`, how = "reset". */
    private static final double LOST_ANSWERS = 0.025;

    private final Fleet fleet;
    private final Fleet.Entry entry;
    private volatile boolean isReading = true;
    private int requests;
    private int unansweredAtTimeout;
    private int late;

    private StoppedLogReader(Fleet fleet, Fleet.Entry entry) {
        this.fleet = fleet;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("status", "/status/", "idempotent", TIMEOUT, 306, "app", 2, false)
            + "],\"Services\":[" + Fleet.service("app") + "]," + Fleet.LIMITS + "}");
        for (int i = 1; i <= 3; i++) {
            String id = "i-" + i;
            String address = fleet.new Listener("127.0.0.1", (socket, in, out) -> {
                Http.Message request = Http.read(in, false);
                String requestId = request.headers.get("Vanilladale-Request-Id");
                Thread.sleep(30);
                if (ThreadLocalRandom.current().nextDouble() < LOST_ANSWERS) {
                    fleet.record(id + ": the answer to " + requestId + " is lost by a reset");
                    socket.setSoLinger(true, 0);
                    return;
                }
                out.write(Http.answer(200, "Vanilladale-Request-Id: " + requestId
                    + "\r\nVanilladale-Server-Stamp: stamp." + requestId + "\r\n", new byte[800]));
                out.flush();
            }).address;
            fleet.store.put("servers/" + id, Fleet.replica("app", address, 6));
        }
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.startWithPipe();
        new StoppedLogReader(fleet, entry).run();
    }

    private void run() throws Exception {
        Fleet.daemon(() -> {
            InputStream log = entry.process.getInputStream();
            byte[] buffer = new byte[1 << 16];
            while (isReading && log.read(buffer) >= 0) {
                Thread.sleep(1);
            }
        });
        entry.awaitReady();
        Thread.sleep(500);
        long first = fleet.milliseconds();
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; fleet.milliseconds() < first + LENGTH; i++) {
            if (fleet.trouble && isReading && fleet.milliseconds() > first + READER_STOPS) {
                isReading = false;
                fleet.record("the reader of the log stops");
            }
            String id = "status-" + i;
            requesters.add(Fleet.daemon(() -> request(id)));
            Thread.sleep(INTERVAL);
        }
        for (Thread requester : requesters) requester.join();
        fleet.record("ready: " + entry.isReady() + ", process alive: " + entry.process.isAlive());
        fleet.finish(late >= 8 && late * 2 > unansweredAtTimeout, "of " + requests + " requests "
            + unansweredAtTimeout + " were unanswered at TimeoutMs, " + late
            + " of them half a second later (CONFIG: more than half, eight or more)");
    }

    private void request(String id) {
        long startedAt = fleet.milliseconds();
        String end;
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout((int) LATE + 500);
            socket.getOutputStream().write(
                Fleet.request("GET", "/status/order", id, TIMEOUT, "", new byte[0]));
            Http.Message answer =
                Http.read(new BufferedInputStream(socket.getInputStream()), true);
            end = answer == null ? "channel closed" : "status " + answer.status();
        } catch (IOException failure) {
            end = failure.getMessage();
        }
        long took = fleet.milliseconds() - startedAt;
        synchronized (this) {
            requests++;
            if (took >= TIMEOUT) unansweredAtTimeout++;
            if (took >= LATE) late++;
        }
        if (took >= TIMEOUT || requests % 100 == 0) fleet.record(id + ": " + end + " after " + took + " ms");
    }
}
