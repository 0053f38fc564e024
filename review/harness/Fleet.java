import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Store, replicas, entries and the record of one run of a case. */
final class Fleet implements AutoCloseable {
    /** A run takes 120 seconds at most. */
    private static final long MAX_RUN = 110_000;

    final long startedAt = System.nanoTime();
    final Path repository;
    final Path folder;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    final Store store;
    private final List<Process> processes = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();
    /** A network of loopback addresses of its own, because some ports of an entry are fixed. */
    private final String network = "127." + ThreadLocalRandom.current().nextInt(16, 250) + "."
        + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private int lastHost = 9;

    Fleet(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath();
        repository = folder.getParent().getParent();
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        record("run with TROUBLE=" + (trouble ? 1 : 0));
        store = new Store();
        Thread.setDefaultUncaughtExceptionHandler((thread, fault) -> {
            fault.printStackTrace();
            Runtime.getRuntime().exit(2);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        daemon(() -> {
            Thread.sleep(MAX_RUN);
            giveUp("the run takes more than " + MAX_RUN + " ms");
        });
    }

    long milliseconds() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void record(String text) {
        record.printf("%7d ms  %s%n", milliseconds(), text);
    }

    /** Ends the run: 1 if the rule was broken, 0 if it held. */
    void finish(boolean broken, String verdict) throws Exception {
        record((broken ? "BROKEN: " : "HELD: ") + verdict);
        System.out.println((broken ? "BROKEN: " : "HELD: ") + verdict);
        close();
        System.exit(broken ? 1 : 0);
    }

    /** Ends the run as one that could not be carried out. */
    void giveUp(String reason) throws Exception {
        record("COULD NOT RUN: " + reason);
        System.out.println("COULD NOT RUN: " + reason);
        close();
        System.exit(2);
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Listener listener : listeners) listener.close();
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }

    private void endProcesses() {
        for (Process process : processes) {
            try {
                process.destroyForcibly().waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    String newAddress() {
        return network + ++lastHost;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(host, 0));
            return probe.getLocalPort();
        }
    }

    /** What a server does with one connection. */
    interface Server {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A TCP server with a thread for each connection. */
    final class Listener {
        final ServerSocket socket = new ServerSocket();
        final String address;

        Listener(String host, Server server) throws IOException {
            socket.bind(new InetSocketAddress(host, 0), 512);
            address = host + ":" + socket.getLocalPort();
            listeners.add(this);
            daemon(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    daemon(() -> {
                        try (accepted) {
                            server.serve(accepted, new BufferedInputStream(accepted.getInputStream()),
                                new BufferedOutputStream(accepted.getOutputStream(), 1 << 16));
                        }
                    });
                }
            });
        }

        void close() throws IOException {
            socket.close();
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ignored) {
                // The peer closed the connection, or the run has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The platform's store, as PROTOCOL.md describes what is read from it. */
    final class Store {
        private record Change(long revision, String key, String value) {}

        private final TreeMap<String, Change> items = new TreeMap<>();
        private final List<Change> changes = new ArrayList<>();
        private long revision = 1;
        final String address = new Listener("127.0.0.1", this::serve).address;

        Store() throws IOException {}

        synchronized void put(String key, String value) {
            String encoded = Base64.getEncoder().encodeToString(Http.bytes(value));
            Change change = new Change(++revision, key, encoded);
            items.put(key, change);
            changes.add(change);
            notifyAll();
            record("store: " + key + " at revision " + revision);
        }

        synchronized void remove(String key) {
            items.remove(key);
            changes.add(new Change(++revision, key, null));
            notifyAll();
            record("store: " + key + " removed at revision " + revision);
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            Http.Message request;
            while ((request = Http.read(in, false)) != null) {
                out.write(answer(request));
                out.flush();
            }
        }

        private synchronized byte[] answer(Http.Message request) throws Exception {
            Map<String, String> query = request.query();
            String body;
            switch (request.path()) {
                case "/api/kv-key" -> {
                    Change item = items.get(query.get("Key"));
                    if (item == null) return Http.answer(404, "", new byte[0]);
                    body = "{" + fields(item) + ",\"At\":" + revision + "}";
                }
                case "/api/kv-range" -> {
                    List<String> found = new ArrayList<>();
                    items.forEach((key, item) -> {
                        if (key.startsWith(query.get("Prefix"))
                            && key.compareTo(query.getOrDefault("After", "")) > 0) {
                            found.add("{" + fields(item) + "}");
                        }
                    });
                    body = "{\"Items\":[" + String.join(",", found) + "],\"HasMore\":false,\"At\":"
                        + revision + "}";
                }
                case "/api/kv-watch" -> {
                    long after = Long.parseLong(query.get("After"));
                    long end = System.currentTimeMillis() + Long.parseLong(query.get("WaitMs"));
                    while (revision <= after && System.currentTimeMillis() < end) {
                        wait(Math.max(1, end - System.currentTimeMillis()));
                    }
                    List<String> found = new ArrayList<>();
                    for (Change change : changes) {
                        if (change.revision > after && change.key.startsWith(query.get("Prefix"))) {
                            found.add("{" + fields(change) + "}");
                        }
                    }
                    body = "{\"events\":[" + String.join(",", found) + "],\"At\":" + revision + "}";
                }
                default -> {
                    return Http.answer(404, "", new byte[0]);
                }
            }
            return Http.answer(200, "Content-Type: application/json\r\n", Http.bytes(body));
        }

        private String fields(Change change) {
            String key = "\"Key\":\"" + change.key + "\",\"Revision\":" + change.revision;
            return change.value == null ? key + ",\"Deleted\":true"
                : key + ",\"Value\":\"" + change.value + "\",\"Created\":" + change.revision
                    + ",\"Lease\":0";
        }
    }

    /** An entry of the system: a process with the command of the deploy file. */
    final class Entry {
        final String host = newAddress();
        final String name;
        final int callerPort = freePort(host);
        final int readyPort = freePort(host);
        final int directoryPort = freePort(host);
        final int controlPort = freePort(host);
        final int internalPort;
        final Path settings;
        Process process;

        Entry(String name, int internalPort) throws IOException {
            this.name = name;
            this.internalPort = internalPort;
            settings = temporary.resolve(name + ".settings");
        }

        String internalAddress() {
            return host + ":" + controlPort;
        }

        void writeSettings(List<String> seeds) throws IOException {
            Map<String, String> values = new HashMap<>();
            values.put("NodeName", quote(name));
            values.put("Zone", quote("zone-a"));
            values.put("Region", quote("region"));
            values.put("Ip", quote(host));
            values.put("Listen.Frontend", quote(host + ":" + callerPort));
            values.put("Listen.Readiness", quote(host + ":" + readyPort));
            values.put("Listen.Directory", quote(host + ":" + directoryPort));
            values.put("Listen.ControlPlane", quote(host + ":" + controlPort));
            values.put("InternalPorts", "[" + internalPort + "," + (internalPort + 15) + "]");
            values.put("Seeds", "[" + String.join(",", seeds.stream().map(Fleet::quote).toList()) + "]");
            values.put("Platform.Address", quote(store.address));
            values.put("Limits.Cores", "1");
            values.put("Limits.MemoryMb", "352");
            values.put("Bounds.DrainMs", "2000");
            values.put("Bounds.GraceS", "8");
            values.put("Bounds.RetryBudgetRatio", "0.2");
            values.put("Bounds.BudgetWindowS", "10");
            values.put("Bounds.RetryBudgetSlack", "207");
            values.put("Bounds.ttl_max_s", "5");
            Matcher matcher = Pattern.compile("\\{\\{([A-Za-z_.]+)\\|json}}")
                .matcher(Files.readString(repository.resolve("deploy/settings.json")));
            StringBuilder filled = new StringBuilder();
            while (matcher.find()) {
                String value = values.get(matcher.group(1));
                if (value == null) throw new IOException("no value for " + matcher.group());
                matcher.appendReplacement(filled, Matcher.quoteReplacement(value));
            }
            matcher.appendTail(filled);
            Files.writeString(settings, filled);
        }

        /** Starts the process with its output in its log file. */
        void start() throws IOException {
            start(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        }

        /** Starts the process with its output in a pipe, which the caller has to read. */
        void startWithPipe() throws IOException {
            start(ProcessBuilder.Redirect.PIPE);
        }

        private void start(ProcessBuilder.Redirect output) throws IOException {
            Matcher command = Pattern.compile("(?m)^\\s*run\\s*=\\s*\"([^\"]+)\"")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
            if (!command.find()) throw new IOException("no run command in the deploy file");
            ProcessBuilder builder = new ProcessBuilder(command.group(1).split(" "))
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output);
            builder.environment().put("VANILLADALE_BOOT", settings.toString());
            process = builder.start();
            processes.add(process);
            record(name + ": started, process " + process.pid());
        }

        Path logFile() {
            return temporary.resolve(name + ".log");
        }

        void signal(String signal) throws Exception {
            record(name + ": SIG" + signal);
            // The `kill` of the shell needs no further package.
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = Fleet.connect(host, readyPort)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(
                    Http.bytes("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Http.Message answer =
                    Http.read(new BufferedInputStream(socket.getInputStream()), true);
                return answer != null && answer.status() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            long end = milliseconds() + 20_000;
            while (!isReady()) {
                if (milliseconds() > end) giveUp(name + " does not become ready");
                Thread.sleep(50);
            }
            record(name + ": ready");
        }

        Socket connect() throws IOException {
            return Fleet.connect(host, callerPort);
        }
    }

    static Socket connect(String host, int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
        return socket;
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    static byte[] request(String method, String path, String id, long deadline, String more,
        byte[] body) {
        byte[] head = Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
            + "Vanilladale-Request-Id: " + id + "\r\nVanilladale-Deadline-Ms: " + deadline + "\r\n"
            + more + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
            + "\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static final String LIMITS = "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";

    static String route(String name, String prefix, String kind, long timeout, long goal,
        String service, int attempts, boolean resumable) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"Prefix\":\"" + prefix
            + "\",\"RouteKind\":\"" + kind + "\",\"TimeoutMs\":" + timeout + ",\"GoalMs\":" + goal
            + ",\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
            + ",\"Public\":true,\"Sticky\":false,\"Resumable\":" + resumable
            + ",\"GapGoalMs\":120}";
    }

    static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":940,"
            + "\"Protocol\":\"h1\",\"Tls\":false}";
    }

    static String replica(String service, String address, int slots) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address
            + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":" + slots
            + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1}";
    }
}
