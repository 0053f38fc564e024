import java.io.InputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Not a case: the reader of the log stops for a while, and a replica loses one answer. */
final class LogStall {
    private static final int CALLERS = 10;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 500;
    private static final int STALL_MILLIS = 25_000;

    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static volatile boolean isReading = true;
    private static volatile boolean isRunning = true;

    public static void main(String[] arguments) {
        Kit.run(arguments[0], LogStall::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        AtomicInteger resets = new AtomicInteger();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1") {
            @Override
            void answer(Web.Request request, String id, Web.Channel channel) throws Exception {
                if (request.path().equals("/orders/lost") && resets.getAndIncrement() < 1) {
                    kit.say("replica loses its answer to " + id);
                    channel.socket.setSoLinger(true, 0);
                    channel.socket.close();
                    return;
                }
                super.answer(request, id, channel);
            }
        });
        kit.configure(7, Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", TIMEOUT_MILLIS, 1));
        kit.register("i-app1", "orders", app.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(
            1, "lodz-a", List.of(kit.host(1)), List.of(), false);
        Thread reader = new Thread(() -> read(entry.process.getInputStream()));
        reader.setDaemon(true);
        reader.start();
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Thread.sleep(3_000);
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Thread thread = new Thread(() -> order(kit, entry, number));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(3_000);
        if (kit.trouble) {
            isReading = false;
            kit.say("the reader of the log stops");
        }
        Thread.sleep(8_000);
        kit.say("by now: " + ANSWERED + " answered, " + UNANSWERED + " unanswered");
        int before = UNANSWERED.get();
        Caller other = kit.use(new Caller(entry.front()));
        Caller.Answer answer = other.send("POST", "/orders/lost", Kit.head("lost", 2_000),
            "order".getBytes(), TIMEOUT_MILLIS + LATE_MILLIS);
        kit.say("lost: " + answer.status() + " " + answer.fault());
        Thread.sleep(STALL_MILLIS - 8_000);
        int during = UNANSWERED.get() - before;
        kit.say("unanswered " + LATE_MILLIS + " ms after their TimeoutMs since then: " + during);
        isReading = true;
        kit.say("the reader goes on");
        Thread.sleep(5_000);
        isRunning = false;
        int open = LATE.get() + UNANSWERED.get();
        boolean broken = UNANSWERED.get() >= 8 && UNANSWERED.get() * 2 > open;
        if (ANSWERED.get() == 0) kit.cannotRun("no order was answered");
        kit.end(broken, UNANSWERED + " of " + open + " orders that were unanswered at their TimeoutMs"
            + " had no answer half a second later; " + ANSWERED + " were answered in time");
    }

    private static void read(InputStream log) {
        byte[] part = new byte[8_192];
        try {
            while (true) {
                if (!isReading) {
                    Thread.sleep(20);
                } else if (log.read(part) < 0) {
                    return;
                }
            }
        } catch (Exception ended) {
            return;
        }
    }

    private static void order(Kit kit, Entry entry, int caller) {
        Caller channel = kit.use(new Caller(entry.front()));
        for (int index = 0; isRunning; index++) {
            String id = "order" + caller + "-" + index;
            long sentAt = System.nanoTime();
            Caller.Answer answer = channel.send("POST", "/orders/x", Kit.head(id, TIMEOUT_MILLIS),
                new byte[600], TIMEOUT_MILLIS + LATE_MILLIS);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (answer.status() != 0 && millis <= TIMEOUT_MILLIS) {
                ANSWERED.incrementAndGet();
            } else {
                (answer.status() == 0 ? UNANSWERED : LATE).incrementAndGet();
                kit.say(id + " after " + millis + " ms: " + answer.status() + " " + answer.fault());
            }
            try {
                Thread.sleep(200);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }
}
