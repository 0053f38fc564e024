import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 server with a thread for each channel. */
final class Web implements AutoCloseable {
    interface Handler {
        void handle(Request request, Channel channel) throws Exception;
    }

    /** A complete request. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        Map<String, String> query() {
            Map<String, String> values = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            if (mark < 0) return values;
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals < 0) continue;
                values.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            return values;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** The connection of a request. */
    static final class Channel {
        final Socket socket;
        final OutputStream output;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            output = socket.getOutputStream();
        }

        void reply(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + bytes.length
                + "\r\n\r\n");
            output.write(bytes);
            output.flush();
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Web(String host, Handler handler) throws IOException {
        this(host, 0, handler);
    }

    Web(String host, int port, Handler handler) throws IOException {
        server = new ServerSocket(port, 512, InetAddress.getByName(host));
        Thread accepting = new Thread(() -> accept(handler), "accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept(Handler handler) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread serving = new Thread(() -> serve(socket, handler), "serve");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, Handler handler) {
        try (socket) {
            Channel channel = new Channel(socket);
            InputStream input = socket.getInputStream();
            while (true) {
                Request request = read(input);
                if (request == null) return;
                handler.handle(request, channel);
                if ("close".equalsIgnoreCase(request.header("connection"))) return;
            }
        } catch (Exception ended) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    private static Request read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null || first.isEmpty()) return null;
        String[] words = first.split(" ");
        Map<String, String> headers = headers(input);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(words[0], words[1], headers, input.readNBytes(length));
    }

    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while ((line = line(input)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon <= 0) continue;
            headers.put(
                line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = input.read()) != -1 && next != '\n') {
            if (next != '\r') line.write(next);
        }
        return next == -1 && line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
    }
}
