import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.List;

/**
 * Streams run at a group of eight ranks, and other experts come into demand every few seconds, so
 * that the entry switches maps.
 */
public final class MapSwitches {
    private static final int STREAMS = 24;
    private static final long LENGTH = 90_000;
    private static final long SHIFT_INTERVAL = 3_400;

    /** Share of the answers of a faulty rank that are sent twice: `garble`, `extra late`. */
    private static final double EXTRA = 0.03;
    private static final double FAULTY_RANKS = 0.6;

    /** Share of the orders that are not answered and carried out late: `applied_late`. */
    private static final double LATE = 0.35;

    public static void main(String[] arguments) throws Exception {
        Fleet fleet = new Fleet(arguments[0]);
        long seed = System.nanoTime();
        RankGroup group = fleet.trouble
            ? new RankGroup(fleet, seed, EXTRA, FAULTY_RANKS, LATE)
            : new RankGroup(fleet, seed, 0, 0, 0);
        fleet.store.put("op/config", "{\"Version\":7,\"Routes\":["
            + Fleet.route("notes", "/notes/", "streaming", 8_000, 501, "llm", 2, true)
            + "],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":940,"
            + "\"Protocol\":\"h1\",\"Tls\":false," + RankGroup.engine() + "}]," + Fleet.LIMITS + "}");
        group.start("llm");
        Fleet.Entry entry = fleet.new Entry("edge-a-1", 7340);
        entry.writeSettings(List.of(entry.internalAddress()));
        entry.start();
        entry.awaitReady();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            Fleet.daemon(() -> {
                for (int round = 0; ; round++) {
                    try (Socket socket = entry.connect()) {
                        socket.setSoTimeout(9_000);
                        socket.getOutputStream().write(Fleet.request("POST", "/notes/new",
                            "stream-" + number + "-" + round, 8_000, "", new byte[700]));
                        Http.read(new BufferedInputStream(socket.getInputStream()), true);
                    } catch (java.io.IOException failed) {
                        Thread.sleep(200);
                    }
                    Thread.sleep(20);
                }
            });
        }
        long end = fleet.milliseconds() + LENGTH;
        while (fleet.milliseconds() < end && group.mixedPasses == 0) {
            Thread.sleep(SHIFT_INTERVAL);
            group.shiftDemand();
        }
        fleet.finish(group.mixedPasses > 0, group.mixedPasses + " passes began while ranks had "
            + "different maps; " + group.switches + " ranks armed, " + group.extraAnswers
            + " answers sent twice, " + group.lateOrders + " orders carried out late");
    }
}
