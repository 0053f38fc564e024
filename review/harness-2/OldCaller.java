import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Case 8: a replica breaks off a stream, and a caller with HTTP/1.0 takes it for complete. */
final class OldCaller {
    private static final int STREAMS = 10;
    private static final int PIECES = 12;
    private static final int CUT_AFTER = 5;

    public static void main(String[] arguments) {
        Kit.run(arguments[0], OldCaller::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1") {
            @Override
            void answer(Web.Request request, String id, Web.Channel channel) throws Exception {
                channel.write("HTTP/1.1 200 OK\r\n" + head(id).replace("text/plain", "text/event-stream")
                    + "Transfer-Encoding: chunked\r\n\r\n");
                for (int piece = 1; piece <= PIECES; piece++) {
                    if (kit.trouble && piece > CUT_AFTER) {
                        kit.say("replica resets the stream " + id + " after piece " + CUT_AFTER);
                        channel.socket.setSoLinger(true, 0);
                        channel.socket.close();
                        return;
                    }
                    String event = "id: " + piece + "\ndata: " + id + "\n\n";
                    channel.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                    Thread.sleep(30);
                }
                channel.write("0\r\n\r\n");
            }
        });
        kit.configure(7, Kit.service("drafts"),
            Kit.route("r-draft", "/drafts/", "streaming", "drafts", 8_000, 2));
        kit.register("i-app1", "drafts", app.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(1, "lodz-a", List.of(kit.host(1)), List.of());
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Thread.sleep(3_000);
        int complete = 0;
        int early = 0;
        int newerEarly = 0;
        for (int index = 0; index < STREAMS; index++) {
            String old = read(kit, entry, "old" + index, "1.0");
            if (old != null) complete++;
            if (old != null && !old.contains("id: " + PIECES + "\n")) early++;
            String newer = read(kit, entry, "new" + index, "1.1");
            if (newer != null && !newer.contains("id: " + PIECES + "\n")) newerEarly++;
        }
        kit.say("HTTP/1.1: " + newerEarly + " of " + STREAMS + " streams ended early as complete");
        if (!kit.trouble && complete < STREAMS) kit.cannotRun("only " + complete + " streams complete");
        kit.end(early + newerEarly > 0, early + " of " + STREAMS
            + " streams of an HTTP/1.0 caller ended as complete before their last piece");
    }

    /** Returns the body of an answer that is complete by its framing, or null. */
    private static String read(Kit kit, Entry entry, String id, String version) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host, Kit.FRONT), 1_000);
            socket.setSoTimeout(9_000);
            socket.getOutputStream().write(("POST /drafts/x HTTP/" + version + "\r\n"
                + Kit.head(id, 8_000) + "Content-Length: 0\r\n\r\n").getBytes());
            InputStream input = socket.getInputStream();
            String status = Web.line(input);
            var headers = Web.headers(input);
            boolean isChunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
            String body = isChunked ? chunks(input) : rest(input);
            kit.say(id + " HTTP/" + version + ": " + status + ", " + (isChunked ? "chunked" : "no length")
                + ", " + (body == null ? "broken off" : "complete, " + (body.split("id: ").length - 1)
                + " pieces"));
            return status != null && status.contains(" 200 ") ? body : null;
        }
    }

    /** Returns all bytes up to the end of the channel, or null after a reset. */
    private static String rest(InputStream input) {
        try {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException reset) {
            return null;
        }
    }

    private static String chunks(InputStream input) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            while (true) {
                String size = Web.line(input);
                if (size == null) return null;
                int length = Integer.parseInt(size.trim(), 16);
                byte[] part = input.readNBytes(length);
                if (part.length < length) return null;
                all.write(part);
                Web.line(input);
                if (length == 0) return all.toString(StandardCharsets.UTF_8);
            }
        } catch (IOException | NumberFormatException broken) {
            return null;
        }
    }
}
