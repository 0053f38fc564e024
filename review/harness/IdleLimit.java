import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Requesters with kept channels send orders whose work takes longer than IdleTimeoutMs of the
 * configuration, and less than the time limit.
 */
public final class IdleLimit {
    private static final int REQUESTERS = 6;

    private final Fleet fleet;
    private final Fleet.Entry entry;
    private int closed;
    private int answered;

    private IdleLimit(Fleet fleet, Fleet.Entry entry) {
        this.fleet = fleet;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        String limits = fleet.trouble
            ? Fleet.LIMITS.replace("\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":3000")
            : Fleet.LIMITS;
        fleet.record("configuration: " + limits);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("orders", "/orders/", "non_idempotent", 8_000, 300, "app", 1, false)
            + "],\"Services\":[" + Fleet.service("app") + "]," + limits + "}");
        for (int i = 1; i <= 3; i++) new PlainReplica(fleet, "i-" + i).register(fleet, "app", 6);
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.start();
        entry.awaitReady();
        Thread.sleep(1_000);
        new IdleLimit(fleet, entry).run();
    }

    private void run() throws Exception {
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            int number = i;
            requesters.add(Fleet.daemon(() -> requester(number)));
        }
        for (Thread requester : requesters) requester.join();
        fleet.finish(closed > 3, closed + " requests on kept channels were passed on to a sound "
            + "replica and their channel was closed without an answer (LOST: more than three); "
            + answered + " were answered");
    }

    private void requester(int number) throws Exception {
        try (Socket socket = entry.connect()) {
            socket.setSoTimeout(9_000);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (String work : List.of("30", "4500")) {
                String id = "order-" + number + "-" + work;
                long sentAt = fleet.milliseconds();
                socket.getOutputStream().write(Fleet.request("POST", "/orders/new?work=" + work, id,
                    8_000, "", new byte[600]));
                String end;
                try {
                    Http.Message answer = Http.read(in, true);
                    end = answer == null ? "channel closed" : "status " + answer.status();
                } catch (IOException failure) {
                    end = "channel broken: " + failure.getMessage();
                }
                fleet.record(id + ": " + end + " after " + (fleet.milliseconds() - sentAt) + " ms");
                synchronized (this) {
                    if (end.startsWith("status")) answered++; else closed++;
                }
                Thread.sleep(200);
            }
        }
    }
}
