import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Not a case: callers send bodies of the allowed size at the same time. */
final class PhotoBurst {
    private static final int UPLOADS = 40;
    private static final int BODY_BYTES = 4_194_304;
    private static final int PART_BYTES = 65_536;
    private static final int ORDINARY = 10;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 500;
    private static final double WATCHED_SECONDS = 20;

    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger PHOTOS = new AtomicInteger();
    private static final ConcurrentHashMap<String, Double> LEFT_AT = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Kit.run(arguments[0], PhotoBurst::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        AtomicInteger ranAfterClose = new AtomicInteger();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1") {
            @Override
            void answer(Web.Request request, String id, Web.Channel channel) throws Exception {
                Double left = LEFT_AT.get(id);
                if (left != null && kit.seconds() - left > 0.5) ranAfterClose.incrementAndGet();
                super.answer(request, id, channel);
            }
        });
        kit.configure(
            7,
            Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", TIMEOUT_MILLIS, 1) + ","
                + Kit.route("r-photo", "/photos/", "non_idempotent", "orders", 8_000, 1));
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
        if (kit.trouble) {
            for (int index = 0; index < UPLOADS; index++) {
                int number = index;
                daemon(() -> upload(kit, entry, "photo" + number, 60));
            }
        } else {
            daemon(() -> {
                for (int index = 0; kit.seconds() < until; index++) {
                    upload(kit, entry, "photo" + index, 5);
                }
            });
        }
        while (kit.seconds() < until + 3) Thread.sleep(100);
        kit.say("ordinary orders: " + ANSWERED + " answered by their TimeoutMs of " + TIMEOUT_MILLIS
            + " ms; " + (LATE.get() + UNANSWERED.get()) + " unanswered then, of these " + UNANSWERED
            + " also " + LATE_MILLIS + " ms later");
        kit.say("orders run over half a second after their caller had closed: " + ranAfterClose);
        kit.say("photos answered 200: " + PHOTOS);
        kit.say("lines with OutOfMemoryError in the log of the entry: "
            + entry.logged("OutOfMemoryError") + "; process alive: " + entry.process.isAlive());
        int open = LATE.get() + UNANSWERED.get();
        boolean broken = UNANSWERED.get() >= 8 && UNANSWERED.get() * 2 > open;
        if (ANSWERED.get() == 0) kit.cannotRun("no ordinary order was answered before the burst");
        kit.end(broken, UNANSWERED + " of " + open + " orders that were unanswered at their TimeoutMs"
            + " had no answer half a second later; " + ANSWERED + " were answered in time");
    }

    private static void order(Kit kit, Entry entry, int caller, double until) {
        Caller channel = kit.use(new Caller(entry.front()));
        for (int index = 0; kit.seconds() < until; index++) {
            String id = "order" + caller + "-" + index;
            long sentAt = System.nanoTime();
            Caller.Answer answer = channel.send(
                "POST", "/orders/x", Kit.head(id, TIMEOUT_MILLIS), new byte[600],
                TIMEOUT_MILLIS + LATE_MILLIS);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            if (answer.status() == 0) LEFT_AT.put(id, kit.seconds());
            if (answer.status() != 0 && millis <= TIMEOUT_MILLIS) {
                ANSWERED.incrementAndGet();
            } else {
                (answer.status() == 0 ? UNANSWERED : LATE).incrementAndGet();
                kit.say(id + " after " + millis + " ms: " + answer.status() + " " + answer.fault());
            }
            pause(200);
        }
    }

    private static void upload(Kit kit, Entry entry, String id, int pauseMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host, Kit.FRONT), 1_000);
            OutputStream output = socket.getOutputStream();
            output.write(("POST /photos/x HTTP/1.1\r\n" + Kit.head(id, 8_000) + "Content-Length: "
                + BODY_BYTES + "\r\n\r\n").getBytes());
            kit.say(id + " begins a body of " + BODY_BYTES + " bytes");
            for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
                output.write(new byte[PART_BYTES]);
                pause(pauseMillis);
            }
            kit.say(id + " has sent its body");
            socket.setSoTimeout(8_000);
            String status = Web.line(socket.getInputStream());
            if (status != null && status.contains(" 200 ")) PHOTOS.incrementAndGet();
            kit.say(id + " gets " + status);
        } catch (Exception failed) {
            kit.say(id + " fails: " + failed);
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
