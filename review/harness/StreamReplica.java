import java.io.IOException;

/**
 * A sound replica that answers with a stream of events. The query parameters `events` and `pause`
 * give the number of events and the milliseconds before each.
 */
final class StreamReplica {
    final String id;
    final String address;

    StreamReplica(Fleet fleet, String id) throws IOException {
        this.id = id;
        address = fleet.new Listener("127.0.0.1", (socket, in, out) -> {
            Http.Message request;
            while ((request = Http.read(in, false)) != null) {
                String requestId = request.headers.get("Vanilladale-Request-Id");
                int events = Integer.parseInt(request.query().get("events"));
                long pause = Long.parseLong(request.query().get("pause"));
                int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
                fleet.record(id + ": runs " + requestId);
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Vanilladale-Request-Id: " + requestId + "\r\n"
                    + "Vanilladale-Server-Stamp: stamp." + requestId + "\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n"));
                try {
                    for (int event = from + 1; event <= events; event++) {
                        Thread.sleep(pause);
                        String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                        out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                        out.flush();
                    }
                    out.write(Http.bytes("0\r\n\r\n"));
                    out.flush();
                    fleet.record(id + ": answered " + requestId);
                } catch (IOException closed) {
                    fleet.record(id + ": channel of " + requestId + " closed during its stream");
                    throw closed;
                }
            }
        }).address;
    }

    /** Registers the replica in the store. */
    StreamReplica register(Fleet fleet, String service, int slots) {
        fleet.store.put("servers/" + id, Fleet.replica(service, address, slots));
        return this;
    }
}
