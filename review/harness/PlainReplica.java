import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service. The query parameter `work` is its work in milliseconds. */
final class PlainReplica {
    final String id;
    final String address;
    final AtomicInteger runs = new AtomicInteger();

    PlainReplica(Fleet fleet, String id) throws IOException {
        this.id = id;
        address = fleet.new Listener("127.0.0.1", (socket, in, out) -> {
            Http.Message request;
            while ((request = Http.read(in, false)) != null) {
                String requestId = request.headers.get("Vanilladale-Request-Id");
                if (!id.equals(request.headers.get("Vanilladale-Expect-Instance"))) {
                    out.write(Http.answer(421, "Vanilladale-Instance-Id: " + id + "\r\n", new byte[0]));
                    out.flush();
                    continue;
                }
                runs.incrementAndGet();
                fleet.record(id + ": runs " + requestId + ", body of " + request.body.length + " bytes");
                Thread.sleep(Long.parseLong(request.query().getOrDefault("work", "30")));
                out.write(Http.answer(200, "Vanilladale-Request-Id: " + requestId
                    + "\r\nVanilladale-Server-Stamp: stamp." + requestId + "\r\n", new byte[800]));
                out.flush();
                fleet.record(id + ": answered " + requestId);
            }
        }).address;
    }

    /** Registers the replica in the store. */
    PlainReplica register(Fleet fleet, String service, int slots) {
        fleet.store.put("servers/" + id, Fleet.replica(service, address, slots));
        return this;
    }
}
