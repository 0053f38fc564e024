import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller with one kept channel to an entry. */
final class Caller implements AutoCloseable {
    /** What came back; status 0 stands for a channel that ended or stayed silent. */
    record Answer(int status, Map<String, String> headers, byte[] body, String fault) {
        String header(String name) {
            return headers == null ? null : headers.get(name.toLowerCase());
        }
    }

    private final String host;
    private final int port;
    private Socket socket;

    Caller(String address) {
        int colon = address.lastIndexOf(':');
        host = address.substring(0, colon);
        port = Integer.parseInt(address.substring(colon + 1));
    }

    boolean isOpen() {
        return socket != null && !socket.isClosed();
    }

    /** Opens a channel unless one is open. */
    void open() throws IOException {
        if (isOpen()) return;
        socket = new Socket();
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
    }

    Answer send(String method, String path, String headers, byte[] body, int waitMillis) {
        try {
            open();
            socket.setSoTimeout(waitMillis);
            OutputStream output = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\n" + headers
                + (body.length > 0 || method.equals("POST")
                    ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            output.write(body);
            output.flush();
            InputStream input = socket.getInputStream();
            String first = Web.line(input);
            if (first == null) return ended("channel closed without an answer");
            int status = Integer.parseInt(first.split(" ")[1]);
            Map<String, String> answered = Web.headers(input);
            byte[] content = body(input, answered);
            if ("close".equalsIgnoreCase(answered.get("connection"))) close();
            return new Answer(status, answered, content, null);
        } catch (IOException | RuntimeException failed) {
            return ended(failed.toString());
        }
    }

    private static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = input.readNBytes(length);
            if (bytes.length < length) throw new IOException("answer cut off");
            return bytes;
        }
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) return input.readAllBytes();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String size = Web.line(input);
            if (size == null) throw new IOException("answer cut off");
            int length = Integer.parseInt(size.trim(), 16);
            all.write(input.readNBytes(length));
            Web.line(input);
            if (length == 0) return all.toByteArray();
        }
    }

    private Answer ended(String fault) {
        close();
        return new Answer(0, null, null, fault);
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // The channel is gone either way.
        }
    }
}
