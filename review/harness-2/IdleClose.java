import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Not a case: the operator gives a route a time-out above the idle time-out of the callers' channels. */
final class IdleClose {
    private static final int CALLERS = 6;
    private static final int WORK_MILLIS = 18_000;
    private static final int SHORT_TIMEOUT_MILLIS = 8_000;
    private static final int LONG_TIMEOUT_MILLIS = 25_000;

    public static void main(String[] arguments) {
        Kit.run(arguments[0], IdleClose::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1"));
        configure(kit, 7, SHORT_TIMEOUT_MILLIS);
        kit.register("i-app1", "orders", app.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(1, "lodz-a", List.of(kit.host(1)), List.of());
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Thread.sleep(3_000);
        if (kit.trouble) {
            configure(kit, 12, LONG_TIMEOUT_MILLIS);
            kit.say("version 12 confirmed: TimeoutMs of the route is " + LONG_TIMEOUT_MILLIS);
        }
        Thread.sleep(3_000);
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(CALLERS);
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Thread thread = new Thread(() -> {
                Caller channel = kit.use(new Caller(entry.front()));
                app.workMillis = 20;
                Caller.Answer quick = send(channel, "quick" + number);
                kit.say("quick" + number + " on a new channel: " + quick.status());
                pause(1_000);
                app.workMillis = WORK_MILLIS;
                double sentAt = kit.seconds();
                Caller.Answer slow = send(channel, "slow" + number);
                kit.say("slow" + number + " on the same channel after "
                    + Math.round((kit.seconds() - sentAt) * 1_000) + " ms: " + slow.status() + " "
                    + slow.fault());
                boolean ran = app.runs.containsKey("slow" + number);
                if (quick.status() == 200 && slow.status() == 0 && ran) closed.incrementAndGet();
                if (slow.status() != 0) answered.incrementAndGet();
                ended.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }
        ended.await();
        kit.end(closed.get() > 3, closed + " of " + CALLERS + " orders were passed on to a sound replica"
            + " and their kept channel closed without an answer; " + answered + " were answered");
    }

    private static void configure(Kit kit, long version, int timeoutMillis) {
        kit.configure(version, Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", timeoutMillis, 1));
    }

    private static Caller.Answer send(Caller channel, String id) {
        return channel.send("POST", "/orders/x", Kit.head(id, LONG_TIMEOUT_MILLIS),
            "order".getBytes(), LONG_TIMEOUT_MILLIS + 1_000);
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
