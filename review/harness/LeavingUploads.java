import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Twelve requesters a second send a body of 4 MB in 0.4 s, and twenty-eight a second send a small
 * order. Those with the large bodies leave before the end of their body, for 5.5 s, twice. No more
 * than five large bodies are on their way at a time.
 */
public final class LeavingUploads {
    private static final int LARGE_BYTES = 4_000_000;
    private static final int SMALL_BYTES = 600;

    /** Part of the large body that is sent before its requester leaves. */
    private static final int SENT_BYTES = 3_900_000;
    private static final int PIECES = 40;
    private static final long PIECE_INTERVAL = 10;
    private static final long LARGE_INTERVAL = 83;
    private static final long SMALL_INTERVAL = 35;

    /** Time for which requesters leave, pause after it, and time for which requests are sent. */
    private static final long LEAVING = 5_500;
    private static final long PAUSE = 1_000;
    private static final long LENGTH = 18_000;
    private static final long TIMEOUT = 8_000;
    private static final long LATE = TIMEOUT + 500;

    private final Fleet fleet;
    private final Fleet.Entry entry;
    private int requests;
    private int left;
    private int unansweredAtTimeout;
    private int late;

    private LeavingUploads(Fleet fleet, Fleet.Entry entry) {
        this.fleet = fleet;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("orders", "/orders/", "non_idempotent", TIMEOUT, 300, "app", 1, false)
            + "],\"Services\":[" + Fleet.service("app") + "]," + Fleet.LIMITS + "}");
        for (int i = 1; i <= 3; i++) new PlainReplica(fleet, "i-" + i).register(fleet, "app", 6);
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.start();
        entry.awaitReady();
        Thread.sleep(1_000);
        new LeavingUploads(fleet, entry).run();
    }

    private void run() throws Exception {
        List<Thread> requesters = new ArrayList<>();
        long first = fleet.milliseconds();
        long nextLarge = first;
        long nextSmall = first;
        while (fleet.milliseconds() < first + LENGTH) {
            long now = fleet.milliseconds();
            if (now >= nextLarge) {
                nextLarge += LARGE_INTERVAL;
                long time = now - first;
                boolean isLeaving = time < 2 * (LEAVING + PAUSE) && time % (LEAVING + PAUSE) < LEAVING;
                String id = "large-" + requesters.size();
                if (isLeaving) requesters.add(Fleet.daemon(() -> large(id)));
            }
            if (now >= nextSmall) {
                nextSmall += SMALL_INTERVAL;
                String id = "small-" + requesters.size();
                requesters.add(Fleet.daemon(() -> small(id)));
            }
            Thread.sleep(2);
        }
        for (Thread requester : requesters) requester.join();
        fleet.record("ready: " + entry.isReady() + ", process alive: " + entry.process.isAlive());
        fleet.finish(late >= 8 && late * 2 > unansweredAtTimeout, left + " requesters left; of "
            + requests + " other requests " + unansweredAtTimeout + " were unanswered at TimeoutMs, "
            + late + " of them half a second later (CONFIG: more than half, eight or more)");
    }

    private void large(String id) throws Exception {
        byte[] request = Fleet.request("POST", "/orders/new?work=30", id, TIMEOUT, "",
            new byte[LARGE_BYTES]);
        long startedAt = fleet.milliseconds();
        try (Socket socket = entry.connect()) {
            OutputStream out = socket.getOutputStream();
            int step = request.length / PIECES + 1;
            for (int from = 0; from < request.length; from += step) {
                if (fleet.trouble && from >= SENT_BYTES) {
                    synchronized (this) {
                        left++;
                    }
                    fleet.record(id + ": leaves after " + from + " bytes");
                    return;
                }
                out.write(request, from, Math.min(step, request.length - from));
                Thread.sleep(PIECE_INTERVAL);
            }
            await(id, socket, startedAt);
        } catch (IOException failure) {
            fleet.record(id + ": " + failure.getMessage());
        }
    }

    private void small(String id) {
        long startedAt = fleet.milliseconds();
        try (Socket socket = entry.connect()) {
            socket.getOutputStream().write(Fleet.request("POST", "/orders/new?work=30", id, TIMEOUT,
                "", new byte[SMALL_BYTES]));
            await(id, socket, startedAt);
        } catch (IOException failure) {
            ended(id, failure.getMessage(), startedAt);
        }
    }

    private void await(String id, Socket socket, long startedAt) {
        String end;
        try {
            socket.setSoTimeout((int) LATE + 500);
            Http.Message answer =
                Http.read(new BufferedInputStream(socket.getInputStream()), true);
            end = answer == null ? "channel closed" : "status " + answer.status();
        } catch (IOException failure) {
            end = failure.getMessage();
        }
        ended(id, end, startedAt);
    }

    private synchronized void ended(String id, String end, long startedAt) {
        long took = fleet.milliseconds() - startedAt;
        requests++;
        if (took >= TIMEOUT) unansweredAtTimeout++;
        if (took >= LATE) late++;
        fleet.record(id + ": " + end + " after " + took + " ms");
    }
}
