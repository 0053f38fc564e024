import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Case 7: a client holds many idle channels for a few seconds; later the configuration changes. */
final class DescriptorBurst {
    private static final int MAX_FDS = 2_069;
    private static final int CHANNELS = 2_100;
    private static final int FEW_CHANNELS = 20;
    private static final int HELD_MILLIS = 6_000;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int PROBES = 20;
    private static final String DROPPED = "q8w2dropped5m1zz7aa0";

    public static void main(String[] arguments) {
        Kit.run(arguments[0], DescriptorBurst::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Replica leaving = kit.use(new Replica(kit, kit.host(100), "i-app1"));
        Replica staying = kit.use(new Replica(kit, kit.host(101), "i-app2"));
        String order =
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", 2_000, 1);
        String added = Kit.route("r-new", "/fresh/", "non_idempotent", "orders", 2_000, 1);
        kit.configure(7, Kit.service("orders"), order, Kit.KEY, DROPPED);
        kit.register("i-app1", "orders", leaving.address(), "ready", 1_790_000_000_000L);
        kit.register("i-app2", "orders", staying.address(), "ready", 1_790_000_000_000L);
        Entry entry = kit.startEntry(1, "lodz-a", List.of(kit.host(1)),
            List.of("sh", "-c", "ulimit -n " + MAX_FDS + " && exec \"$@\"", "sh"));
        if (!entry.awaitReady(25_000)) kit.cannotRun("the entry did not become ready");
        Thread.sleep(3_000);
        Caller caller = kit.use(new Caller(entry.front()));
        int before = 0;
        for (int index = 0; index < 20; index++) {
            before += send(kit, caller, "/orders/x", "before" + index, DROPPED) == 200 ? 1 : 0;
        }
        if (before < 20) kit.cannotRun("only " + before + " of 20 orders answered before");
        int count = kit.trouble ? CHANNELS : FEW_CHANNELS;
        List<Socket> held = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            Socket socket = new Socket();
            held.add(socket);
            socket.connect(new InetSocketAddress(entry.host, Kit.FRONT), 2_000);
        }
        kit.say("a client holds " + count + " channels");
        Thread.sleep(HELD_MILLIS);
        for (Socket socket : held) socket.close();
        kit.say("the client has closed its channels");
        Thread.sleep(8_000);
        int calm = 0;
        for (int index = 0; index < 20; index++) {
            calm += send(kit, caller, "/orders/x", "calm" + index, DROPPED) == 200 ? 1 : 0;
        }
        kit.say("calm again: " + calm + " of 20 orders answered 200");
        kit.configure(12, Kit.service("orders"), order + "," + added, Kit.KEY);
        kit.say("version 12 confirmed: route /fresh/ added, key " + DROPPED + " dropped");
        kit.register("i-app1", "orders", leaving.address(), "draining", 1_790_000_000_000L);
        kit.say("replica i-app1 reports draining; confirmed");
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
        int ranBefore = leaving.order.size();
        int droppedRun = 0;
        int addedRefused = 0;
        for (int index = 0; index < PROBES; index++) {
            String id = "dropped" + index;
            send(kit, caller, "/orders/x", id, DROPPED);
            droppedRun += leaving.runs.containsKey(id) || staying.runs.containsKey(id) ? 1 : 0;
            addedRefused += send(kit, caller, "/fresh/x", "added" + index, Kit.KEY) == 404 ? 1 : 0;
            send(kit, caller, "/orders/x", "kept" + index, Kit.KEY);
            Thread.sleep(500);
        }
        int atLeaving = leaving.order.size() - ranBefore;
        kit.say("sent over " + CONFIG_APPLY_MILLIS + " ms after the confirmation: " + droppedRun + " of "
            + PROBES + " orders with the dropped key ran, " + addedRefused + " of " + PROBES
            + " on the added route got 404");
        kit.say("requests that reached the draining replica over " + DRAIN_MILLIS
            + " ms after its report: " + atLeaving);
        boolean broken = droppedRun + addedRefused > 0 || atLeaving > 0;
        kit.end(broken, droppedRun + " orders ran with the dropped key, " + addedRefused
            + " on the added route got 404, " + atLeaving + " reached the draining replica");
    }

    private static int send(Kit kit, Caller caller, String path, String id, String key) {
        String head = Kit.head(id, 2_000).replace(Kit.KEY, key);
        Caller.Answer answer =
            caller.send("POST", path, head, "order".getBytes(), 2_500);
        kit.say(id + " " + path + ": " + answer.status()
            + (answer.fault() == null ? "" : " " + answer.fault()));
        return answer.status();
    }
}
