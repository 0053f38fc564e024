import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What all cases share: addresses, the record, the configuration and registrations. */
final class Kit implements AutoCloseable {
    static final String KEY = "k3jv0a8dqd6m2x1zc7pa";
    /** Ports of the entries; each run has loopback addresses of its own, on which they are free. */
    static final int FRONT = 18_227;
    static final int READINESS = 18_220;
    static final int DIRECTORY = 18_224;
    static final int CONTROL = 18_229;
    static final int INTERNAL = 17_340;
    private static final int METRICS = 9_464;
    private static final long LONGEST_RUN_MILLIS = 112_000;

    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final String network;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Store store;

    Kit(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review-2-");
        network = freeNetwork();
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
        Thread watchdog = new Thread(this::endLate, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        say("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
    }

    /** The steps of a case. */
    interface Case {
        void run(Kit kit) throws Exception;
    }

    /** Runs the steps; a failure of the case itself ends the program with 2. */
    static void run(String recordFile, Case steps) {
        try {
            Kit kit = new Kit(recordFile);
            try {
                steps.run(kit);
            } catch (Exception failed) {
                kit.cannotRun(failed.toString());
            }
        } catch (Throwable failed) {
            System.out.println("could not run: " + failed);
            Runtime.getRuntime().halt(2);
        }
    }

    /** Returns the start of loopback addresses on which the ports of six entries are free. */
    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
            if (isFree(network)) return network;
        }
        throw new IOException("no free loopback ports");
    }

    private static boolean isFree(String network) {
        for (int number = 1; number <= 6; number++) {
            for (int port : new int[] {FRONT, READINESS, DIRECTORY, CONTROL, INTERNAL, METRICS}) {
                try (ServerSocket probe =
                    new ServerSocket(port, 1, InetAddress.getByName(network + number))) {
                    if (!probe.isBound()) return false;
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    private void endLate() {
        try {
            Thread.sleep(LONGEST_RUN_MILLIS);
        } catch (InterruptedException ended) {
            return;
        }
        say("could not run: the time for a run is over");
        System.out.println("could not run: the time for a run is over");
        closeAll();
        Runtime.getRuntime().halt(2);
    }

    private synchronized void closeAll() {
        for (int index = open.size() - 1; index >= 0; index--) {
            try {
                open.get(index).close();
            } catch (Exception failed) {
                say("closing failed: " + failed);
            }
        }
        open.clear();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.deleteIfExists(file);
            Files.deleteIfExists(folder);
        } catch (IOException kept) {
            return;
        }
    }

    /** A loopback address of this run. */
    String host(int number) {
        return network + number;
    }

    synchronized void say(String text) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized <T extends AutoCloseable> T use(T part) {
        open.add(part);
        return part;
    }

    void startStore() throws Exception {
        store = use(new Store(host(200)));
    }

    Entry startEntry(int number, String zone, List<String> seeds, List<String> before)
        throws Exception {
        return startEntry(number, zone, seeds, before, true);
    }

    /** Starts an entry. Its output goes to a file, or stays for the caller to read. */
    Entry startEntry(
        int number, String zone, List<String> seeds, List<String> before, boolean keepsOutput)
        throws Exception {
        return use(new Entry(
            host(number), "edge-" + zone + "-" + number, zone, store.address(), seeds, folder, before,
            keepsOutput));
    }

    /** Writes the configuration; the routes are given as the JSON of its routes. */
    void configure(long version, String services, String routes) {
        configure(version, services, routes, KEY);
    }

    /** Writes the configuration with [keys] as those of the only tenant. */
    void configure(long version, String services, String routes, String... keys) {
        store.put("op/config", "{\"Version\":" + version + ",\"Routes\":[" + routes
            + "],\"Services\":[" + services + "],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\""
            + String.join("\",\"", keys) + "\"]}]}");
    }

    static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":248,"
            + "\"Protocol\":\"h1\",\"Tls\":false}";
    }

    static String route(String name, String prefix, String kind, String service, int timeout, int attempts) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"ficu95.example\",\"Prefix\":\"" + prefix
            + "\",\"RouteKind\":\"" + kind + "\",\"TimeoutMs\":" + timeout + ",\"GoalMs\":194,"
            + "\"Priority\":2,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
            + ",\"Public\":false,\"Sticky\":false,\"Resumable\":false}";
    }

    /** Registers a replica. */
    void register(String id, String service, String address, String state, long born) {
        store.put("servers/" + id, "{\"Service\":\"" + service + "\",\"Address\":\"" + address
            + "\",\"Zone\":\"lodz-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state
            + "\",\"ColdLeftMs\":0,\"Sequence\":0,\"born\":" + born + "}");
    }

    static String head(String id, int deadline) {
        return "Host: ficu95.example\r\nVanilladale-Request-Id: " + id
            + "\r\nVanilladale-Deadline-Ms: " + deadline + "\r\nVanilladale-Key: " + KEY + "\r\n";
    }

    /** Closes everything and ends the program: 1 if the rule was broken, else 0. */
    void end(boolean broken, String verdict) throws Exception {
        say((broken ? "BROKEN: " : "held: ") + verdict);
        close();
        System.out.println((broken ? "BROKEN: " : "held: ") + verdict);
        System.exit(broken ? 1 : 0);
    }

    /** Ends the program with 2, because the case could not run. */
    void cannotRun(String why) throws Exception {
        say("could not run: " + why);
        close();
        System.out.println("could not run: " + why);
        System.exit(2);
    }

    @Override
    public void close() {
        closeAll();
        record.flush();
    }
}
