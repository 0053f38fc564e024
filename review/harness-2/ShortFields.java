import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 6: a crowd holds heads of allowed size that are made of many short fields. */
final class ShortFields {
    private static final int CHANNELS = 600;
    private static final int HEAD_BYTES = 15_000;
    private static final int ORDINARY = 10;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 500;
    private static final double WATCHED_SECONDS = 25;
    private static final int HELD_MILLIS = 12_000;

    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();

    public static void main(String[] arguments) {
        Kit.run(arguments[0], ShortFields::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1"));
        kit.configure(7, Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", TIMEOUT_MILLIS, 1));
        kit.register("i-app1", "orders", app.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(1, "lodz-a", List.of(kit.host(1)), List.of());
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Caller first = kit.use(new Caller(entry.front()));
        for (int index = 0; index < 20; index++) {
            first.send("POST", "/orders/x", Kit.head("warm" + index, 2_000), new byte[600], 2_500);
        }
        Thread.sleep(4_000);
        double until = kit.seconds() + WATCHED_SECONDS;
        for (int caller = 0; caller < ORDINARY; caller++) {
            int number = caller;
            daemon(() -> order(kit, entry, number, until));
        }
        Thread.sleep(2_000);
        daemon(() -> crowd(kit, entry));
        boolean hasEnded = false;
        while (kit.seconds() < until + 3) {
            if (!hasEnded && !entry.process.isAlive()) {
                hasEnded = true;
                kit.say("the process has ended by itself with code " + entry.process.exitValue());
            }
            Thread.sleep(50);
        }
        kit.say("ordinary orders: " + ANSWERED + " answered by their TimeoutMs of " + TIMEOUT_MILLIS
            + " ms; " + (LATE.get() + UNANSWERED.get()) + " unanswered then, of these " + UNANSWERED
            + " also " + LATE_MILLIS + " ms later");
        kit.say("lines with OutOfMemoryError in the log of the entry: "
            + entry.logged("OutOfMemoryError"));
        if (ANSWERED.get() == 0) kit.cannotRun("no ordinary order was answered before the crowd");
        int open = LATE.get() + UNANSWERED.get();
        boolean isSilent = UNANSWERED.get() >= 8 && UNANSWERED.get() * 2 > open;
        kit.end(hasEnded || isSilent, (hasEnded ? "the process ended by itself; " : "") + UNANSWERED
            + " of " + open + " orders that were unanswered at their TimeoutMs had no answer half a"
            + " second later; " + ANSWERED + " were answered in time");
    }

    /** Opens the channels, five milliseconds apart, and closes them after a while. */
    private static void crowd(Kit kit, Entry entry) {
        StringBuilder head =
            new StringBuilder("POST /orders/x HTTP/1.1\r\nHost: ficu95.example\r\n");
        if (kit.trouble) {
            for (int field = 0; head.length() < HEAD_BYTES; field++) {
                head.append((char) ('a' + field % 26)).append((char) ('a' + field / 26 % 26))
                    .append(":\r\n");
            }
        } else {
            head.append("x: ").append("a".repeat(HEAD_BYTES - head.length() - 5)).append("\r\n");
        }
        List<Socket> held = Collections.synchronizedList(new ArrayList<>());
        try {
            for (int index = 0; index < CHANNELS; index++) {
                Socket socket = new Socket();
                socket.connect(new InetSocketAddress(entry.host, Kit.FRONT), 2_000);
                socket.getOutputStream().write(head.toString().getBytes());
                held.add(socket);
                Thread.sleep(5);
            }
            kit.say(held.size() + " channels hold heads of " + head.length() + " bytes without their end");
            Thread.sleep(HELD_MILLIS);
        } catch (Exception failed) {
            kit.say("the crowd stops at " + held.size() + " channels: " + failed);
        }
        for (Socket socket : held) {
            try {
                socket.close();
            } catch (Exception closed) {
                continue;
            }
        }
        kit.say("the crowd has left");
    }

    private static void order(Kit kit, Entry entry, int caller, double until) {
        Caller channel = kit.use(new Caller(entry.front()));
        for (int index = 0; kit.seconds() < until && entry.process.isAlive(); index++) {
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

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }
}
