import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Minimal HTTP/1.1 reading for stand-ins. */
final class Http {
    private Http() {}

    /** A request or an answer. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target().indexOf('?');
            if (mark < 0) return query;
            for (String part : target().substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], java.net.URLDecoder.decode(
                    pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
            return query;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head, or returns null at the end of the connection before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.firstLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("connection ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads a head and its body. An answer without a length ends with its connection. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.headers.get("Content-Length");
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)) != null) body.write(chunk);
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("short body");
        } else if (isAnswer) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    /** Returns the next chunk of a chunked body, or null after the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("connection ended between chunks");
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) throw new EOFException("connection ended within a chunk");
        readLine(in);
        return size == 0 ? null : chunk;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] answer(int status, String headers, byte[] body) {
        byte[] head = bytes("HTTP/1.1 " + status + " X\r\n" + headers
            + "Content-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static List<String> lines(String text) {
        return new ArrayList<>(text.lines().toList());
    }
}
