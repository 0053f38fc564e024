import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One part of a prompt crashes each replica that begins to write an answer on it. A replica that
 * crashes is dark: its channels stay open and nothing comes on them. It is back after three seconds.
 * One request in twenty has the part.
 */
public final class SilentCrashes {
    private static final int REPLICAS = 8;
    private static final int ENTRIES = 2;
    private static final long INTERVAL = 25;
    private static final double DEADLY_SHARE = 0.05;
    private static final long DEADLY_FROM = 4_000;
    private static final long DEADLY_UNTIL = 26_000;
    private static final long LENGTH = 30_000;
    private static final long DARK = 3_000;
    private static final long CONTACT = 3_000;
    private static final int EVENTS = 20;

    private final Fleet fleet;
    private final List<Long> crashes = new ArrayList<>();
    private final Map<String, Integer> ends = new TreeMap<>();
    private int reached;
    private int reachedLate;

    private SilentCrashes(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        new SilentCrashes(new Fleet(arguments[0])).run();
    }

    private void run() throws Exception {
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("notes", "/notes/", "streaming", 8_000, 501, "llm", 2, true)
            + "],\"Services\":[" + Fleet.service("llm") + "]," + Fleet.LIMITS + "}");
        for (int i = 1; i <= REPLICAS; i++) new Replica("i-" + i);
        List<Fleet.Entry> entries = new ArrayList<>();
        for (int i = 1; i <= ENTRIES; i++) entries.add(fleet.new Entry("edge-a-" + i, 7340));
        List<String> seeds = entries.stream().map(Fleet.Entry::internalAddress).toList();
        for (Fleet.Entry entry : entries) {
            entry.writeSettings(seeds);
            entry.start();
        }
        for (Fleet.Entry entry : entries) entry.awaitReady();
        Thread.sleep(1_500);
        Random random = new Random();
        List<Thread> requesters = new ArrayList<>();
        long first = fleet.milliseconds();
        for (int i = 0; fleet.milliseconds() < first + LENGTH; i++) {
            long time = fleet.milliseconds() - first;
            boolean isDeadly = fleet.trouble && time > DEADLY_FROM && time < DEADLY_UNTIL
                && random.nextDouble() < DEADLY_SHARE;
            String id = (isDeadly ? "deadly-" : "sound-") + i;
            Fleet.Entry entry = entries.get(i % ENTRIES);
            requesters.add(Fleet.daemon(() -> request(entry, id, isDeadly)));
            Thread.sleep(INTERVAL);
        }
        for (Thread requester : requesters) requester.join();
        fleet.record("ends of the requests: " + ends);
        fleet.finish(reachedLate > 3, crashes.size() + " crashes; " + reached + " requests with the "
            + "part reached replicas, " + reachedLate + " of them later than ContactMs after the fifth "
            + "crash (BUDGET: more than three); ends of the requests: " + ends);
    }

    private final class Replica {
        private final String id;
        private long darkUntil;

        Replica(String id) throws IOException {
            this.id = id;
            String address = fleet.new Listener("127.0.0.1", this::serve).address;
            fleet.store.put("servers/" + id, Fleet.replica("llm", address, 12));
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            if (isDark()) {
                endInDark(socket);
                return;
            }
            Http.Message request = Http.read(in, false);
            if (request == null) return;
            String requestId = request.headers.get("Vanilladale-Request-Id");
            boolean isDeadly =
                request.headers.getOrDefault("Vanilladale-Prefix-Hash", "").contains("dead1");
            if (isDeadly) recordReached(requestId);
            // The prompt is read.
            Thread.sleep(120);
            if (isDeadly && !isDark()) crash(requestId);
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + "Vanilladale-Request-Id: " + requestId + "\r\nVanilladale-Server-Stamp: stamp."
                + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
            for (int event = from + 1; event <= EVENTS; event++) {
                if (isDark()) {
                    endInDark(socket);
                    return;
                }
                String text = "id: " + event + "\ndata: piece\n\n";
                out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
                Thread.sleep(60);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        }

        private boolean isDark() {
            return fleet.milliseconds() < darkUntil;
        }

        /** Nothing comes while the replica is dark. The new process doesn't know the channel. */
        private void endInDark(Socket socket) throws Exception {
            Thread.sleep(Math.max(1, darkUntil - fleet.milliseconds()));
            socket.setSoLinger(true, 0);
        }

        private void crash(String requestId) {
            darkUntil = fleet.milliseconds() + DARK;
            synchronized (SilentCrashes.this) {
                crashes.add(fleet.milliseconds());
                fleet.record(id + ": crashes on " + requestId + ", crash " + crashes.size());
            }
        }

        private void recordReached(String requestId) {
            synchronized (SilentCrashes.this) {
                reached++;
                boolean isLate = crashes.size() >= 5 && fleet.milliseconds() > crashes.get(4) + CONTACT;
                if (isLate) reachedLate++;
                fleet.record(id + ": reached by " + requestId + (isLate ? ", too late" : ""));
            }
        }
    }

    private void request(Fleet.Entry entry, String id, boolean isDeadly) {
        String end;
        try (Socket socket = entry.connect()) {
            // Requesters abandon a stream after a gap of two seconds.
            socket.setSoTimeout(2_004);
            String own = Integer.toHexString(id.hashCode());
            String second = isDeadly ? "dead1" : "b" + (id.hashCode() & 31);
            socket.getOutputStream().write(Fleet.request("POST", "/notes/new", id, 8_000,
                "Vanilladale-Prefix-Hash: a1:40," + second + ":200," + own + ":400\r\n",
                Http.bytes("note " + id)));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.readHead(in);
            end = head == null ? "closed" : "status " + head.status();
            if (head != null && head.status() == 200) {
                while (Http.readChunk(in) != null) {
                    // The events of the stream.
                }
                end += " whole";
            }
        } catch (IOException cut) {
            end = "cut or abandoned";
        }
        synchronized (this) {
            ends.merge((isDeadly ? "deadly " : "sound ") + end, 1, Integer::sum);
        }
    }
}
