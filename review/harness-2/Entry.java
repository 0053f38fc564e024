import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry process, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    final String host;
    final Process process;
    final File log;

    /** Starts an entry; [before] are words put before the command of the deploy file. */
    Entry(String host, String name, String zone, String store, List<String> seeds, Path folder,
        List<String> before, boolean keepsOutput) throws Exception {
        this.host = host;
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(host, name, zone, store, seeds));
        List<String> command = new ArrayList<>(before);
        command.addAll(command());
        log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (keepsOutput) builder.redirectOutput(log);
        builder.environment().put("VANILLADALE_BOOT", settings.toString());
        process = builder.start();
    }

    private static List<String> command() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IllegalStateException("deploy/system.toml has no run line");
    }

    private static String settings(
        String host, String name, String zone, String store, List<String> seeds) {
        StringBuilder seedList = new StringBuilder();
        for (String seed : seeds) {
            seedList.append(seedList.length() == 0 ? "" : ",").append('"').append(seed)
                .append(":" + Kit.CONTROL + "\"");
        }
        return "{\"vm\":\"" + name + "\",\"dataCentre\":\"" + zone + "\",\"region\":\"lodz\","
            + "\"ip\":\"" + host + "\",\"callerAddress\":\"" + host + ":" + Kit.FRONT + "\","
            + "\"readinessAddress\":\"" + host + ":" + Kit.READINESS + "\",\"addressesAddress\":\"" + host
            + ":" + Kit.DIRECTORY + "\",\"controlAddress\":\"" + host + ":" + Kit.CONTROL
            + "\",\"internalPorts\":[" + Kit.INTERNAL + "," + (Kit.INTERNAL + 15) + "],"
            + "\"seeds\":[" + seedList + "],\"storeAddress\":\"" + store + "\",\"cores\":1,"
            + "\"memoryMegabytes\":352,\"drainMilliseconds\":2000,\"graceSeconds\":8,"
            + "\"retryBudgetRatio\":0.2,\"retryBudgetWindowSeconds\":10,\"retryBudgetSlack\":207,"
            + "\"mostTimeToLiveSeconds\":5}";
    }

    String front() {
        return host + ":" + Kit.FRONT;
    }

    boolean awaitReady(long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Caller caller = new Caller(host + ":" + Kit.READINESS)) {
                if (caller.send("GET", "/api/readyz", "Host: r\r\n", new byte[0], 1_000).status() == 200) {
                    return true;
                }
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Number of lines of the log that contain [text]. */
    long logged(String text) throws Exception {
        try (var lines = Files.lines(log.toPath(), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
