import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Streams are requested at an even rate before and after a SIGTERM of the only entry. Every second
 * one has 60 events, 75 ms apart, the others 24. The platform sends SIGKILL after GraceS.
 */
public final class PlannedStop {
    private static final long GRACE = 8_000;

    /** The rule excuses requests sent by then whose replica is at work in the last sixth. */
    private static final long EXCUSED_UNTIL = 3_000;
    private static final long LAST_SIXTH = GRACE - GRACE / 6;
    private static final long INTERVAL = 50;

    private final Fleet fleet;
    private final Fleet.Entry entry;
    private volatile long stoppedAt = Long.MAX_VALUE;
    private int lost;
    private int excused;
    private int complete;

    private PlannedStop(Fleet fleet, Fleet.Entry entry) {
        this.fleet = fleet;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("notes", "/notes/", "streaming", 8_000, 501, "llm", 2, true)
            + "],\"Services\":[" + Fleet.service("llm") + "]," + Fleet.LIMITS + "}");
        for (int i = 1; i <= 16; i++) new StreamReplica(fleet, "i-" + i).register(fleet, "llm", 12);
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.start();
        entry.awaitReady();
        Thread.sleep(1_000);
        new PlannedStop(fleet, entry).run();
    }

    private void run() throws Exception {
        List<Thread> requesters = new ArrayList<>();
        long first = fleet.milliseconds();
        boolean signalled = false;
        for (int i = 0; ; i++) {
            long now = first + i * INTERVAL;
            Thread.sleep(Math.max(0, now - fleet.milliseconds()));
            if (now - first > 5_500) break;
            if (fleet.trouble && !signalled && now - first >= 1_000) {
                signalled = true;
                stoppedAt = fleet.milliseconds();
                entry.signal("TERM");
                Fleet.daemon(this::recordAddresses);
                Fleet.daemon(() -> {
                    Thread.sleep(GRACE);
                    if (entry.process.isAlive()) entry.signal("KILL");
                });
            }
            int number = i;
            requesters.add(Fleet.daemon(() -> request(number)));
        }
        for (Thread requester : requesters) requester.join();
        fleet.finish(lost > 0, lost + " requests were passed on to a replica and cut without a "
            + "complete answer; " + excused + " more were, but are excused; " + complete
            + " were complete");
    }

    /** What requesters are told when their list of addresses has expired. */
    private void recordAddresses() throws Exception {
        Thread.sleep(2_900);
        try (Socket socket = Fleet.connect(entry.host, entry.directoryPort)) {
            socket.getOutputStream().write(Http.bytes("GET /api/resolve?Name=shop.example&Region="
                + "region&Zone=zone-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            fleet.record("the entry's directory answers " + answer.status() + " " + answer.text());
        }
    }

    private void request(int number) throws Exception {
        String id = "stream-" + number;
        int events = number % 2 == 0 ? 60 : 24;
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout(9_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            long sentAt = fleet.milliseconds();
            socket.getOutputStream().write(Fleet.request("POST",
                "/notes/new?events=" + events + "&pause=75", id, 8_000, "", new byte[700]));
            String begun = "";
            int pieces = 0;
            try {
                Http.Message head = Http.readHead(in);
                if (head == null) {
                    // The entry was gone before it read the request.
                    fleet.record(id + ": channel closed without an answer");
                    return;
                }
                if (head.status() != 200) {
                    fleet.record(id + ": status " + head.status());
                    return;
                }
                begun = "200";
                byte[] chunk;
                while ((chunk = Http.readChunk(in)) != null) {
                    pieces += new String(chunk).split("data:", -1).length - 1;
                }
                synchronized (this) {
                    complete++;
                }
                if (pieces != events) fleet.record(id + ": " + pieces + " pieces of " + events);
            } catch (IOException cut) {
                // The head of an answer shows that the request was passed on to a replica.
                if (begun.isEmpty()) {
                    fleet.record(id + ": " + cut.getMessage());
                    return;
                }
                long sentAfter = sentAt - stoppedAt;
                long cutAfter = fleet.milliseconds() - stoppedAt;
                boolean isExcused = sentAfter <= EXCUSED_UNTIL && cutAfter >= LAST_SIXTH;
                fleet.record(id + ": cut after " + pieces + " of " + events + " pieces; sent "
                    + sentAfter + " ms and cut " + cutAfter + " ms after the SIGTERM"
                    + (isExcused ? ", excused" : ""));
                synchronized (this) {
                    if (isExcused) excused++; else lost++;
                }
            }
        } catch (IOException refused) {
            fleet.record(id + ": no channel");
        }
    }
}
