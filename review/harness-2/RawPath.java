import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case 9: a caller doesn't escape the letters of its path. */
final class RawPath {
    private static final String[] NAMES = {
        "łódź", "żółty", "zamówienie-12", "größe", "señor", "工場", "é",
    };

    public static void main(String[] arguments) {
        Kit.run(arguments[0], RawPath::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Map<String, String> received = new ConcurrentHashMap<>();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1") {
            @Override
            void answer(Web.Request request, String id, Web.Channel channel) throws Exception {
                received.put(id, request.method() + " " + request.target());
                super.answer(request, id, channel);
            }
        });
        kit.configure(
            7,
            Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", 2_000, 1) + ","
                + Kit.route("r-status", "/status/", "idempotent", "orders", 2_000, 2));
        kit.register("i-app1", "orders", app.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(1, "lodz-a", List.of(kit.host(1)), List.of());
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Thread.sleep(3_000);
        Caller caller = kit.use(new Caller(entry.front()));
        int ran = 0;
        int changed = 0;
        for (int index = 0; index < NAMES.length; index++) {
            String name = kit.trouble ? raw(NAMES[index]) : escaped(NAMES[index]);
            for (String line : new String[] {
                "POST /orders/" + name, "GET /status/" + name, "GET /status/all?town=" + name,
            }) {
                String id = "raw" + index + "-" + line.length() + line.charAt(0) + line.indexOf('?');
                String[] words = line.split(" ");
                byte[] body = words[0].equals("POST") ? "order".getBytes() : new byte[0];
                Caller.Answer answer =
                    caller.send(words[0], words[1], Kit.head(id, 2_000), body, 3_000);
                String got = received.get(id);
                if (got != null) ran++;
                boolean isOther = got != null && !got.equals(line);
                if (isOther) changed++;
                kit.say(id + " sent " + hex(line) + ", run as " + (got == null ? "-" : hex(got))
                    + (isOther ? " (CHANGED)" : "") + ", answered " + answer.status());
            }
        }
        if (!kit.trouble && ran < 3 * NAMES.length) kit.cannotRun("only " + ran + " requests ran");
        kit.end(changed > 0, changed + " of " + ran + " requests that ran had another path or query");
    }

    /** Returns [name] with each byte of its UTF-8 form as one character. */
    private static String raw(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static String escaped(String name) {
        StringBuilder text = new StringBuilder();
        for (byte part : name.getBytes(StandardCharsets.UTF_8)) {
            text.append(part < 0 ? String.format("%%%02X", part) : String.valueOf((char) part));
        }
        return text.toString();
    }

    /** Returns [line] with the bytes beyond ASCII as hexadecimal numbers. */
    private static String hex(String line) {
        StringBuilder text = new StringBuilder("'");
        for (char letter : line.toCharArray()) {
            text.append(letter < 128 ? String.valueOf(letter) : String.format("<%02x>", (int) letter));
        }
        return text.append("'").toString();
    }
}
