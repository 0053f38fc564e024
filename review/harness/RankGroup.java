import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A group of model replicas, as PROTOCOL.md describes ranks, passes, maps and orders.
 *
 * The first part of the ranks may be faulty: they send some answers a second time, at the point
 * where the next answer on that channel is expected. Orders may stay unanswered and be carried out
 * late.
 */
final class RankGroup {
    static final int RANKS = 8;
    static final int SETS = 2;
    static final int EXPERTS = 32;
    static final int PLACES = 6;
    static final int SPARE = 3;
    static final int SLOTS = 8;
    static final int STRIDE = 4;
    static final double STEP_MS = 4.55;
    static final double PER_SEQ_MS = 1.36;
    static final double SHARE = 0.85;
    static final double EXPERT_MB = 400;
    static final double LINK_MBPS = 92_000;
    private static final long REPORT_LAG = 200;
    private static final long EPOCH = 1;

    /** An expert map: by set and rank, the experts. */
    private record Version(long number, List<List<Set<Integer>>> experts) {}

    private final class Rank {
        final int number;
        Version map;
        Version prepared;
        long preparedAt;
        long highest;
        long armed;
        long armedStep;
        long held = -1;
        int streams;
        int answers;
        int answersSentTwice;
        final long[] counts = new long[SETS * EXPERTS];
        final Deque<Map.Entry<Long, String>> reports = new ArrayDeque<>();

        Rank(int number, Version map) {
            this.number = number;
            this.map = map;
        }
    }

    private final Fleet fleet;
    private final Random random;
    private final List<Rank> ranks = new ArrayList<>();
    private long step;
    private int demandSeed;
    private double[][] demand;

    /** Share of the answers of a faulty rank that come twice, and share of the faulty ranks. */
    private final double extra;
    private final double faultyRanks;

    /** Share of the orders that get no answer and are carried out late. */
    private final double late;

    /** Passes that began while two ranks had different maps. */
    int mixedPasses;
    int switches;
    int extraAnswers;
    int lateOrders;

    RankGroup(Fleet fleet, long seed, double extra, double faultyRanks, double late) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.extra = extra;
        this.faultyRanks = faultyRanks;
        this.late = late;
        List<List<Set<Integer>>> first = new ArrayList<>();
        for (int set = 0; set < SETS; set++) {
            List<Set<Integer>> byRank = new ArrayList<>();
            for (int rank = 0; rank < RANKS; rank++) {
                Set<Integer> held = new TreeSet<>();
                for (int place = 0; place < PLACES; place++) held.add((rank * PLACES + place) % EXPERTS);
                byRank.add(held);
            }
            first.add(byRank);
        }
        for (int rank = 0; rank < RANKS; rank++) ranks.add(new Rank(rank, new Version(0, first)));
        shiftDemand();
    }

    static String engine() {
        return "\"Engine\":{\"Slots\":" + SLOTS + ",\"KvCapacity\":186666,\"KvTokenBytes\":52704,"
            + "\"LinkMbps\":" + LINK_MBPS + ",\"Stride\":" + STRIDE + ",\"Models\":[{\"Name\":\"m\"}],"
            + "\"step_ms\":" + STEP_MS + ",\"per_seq_ms\":" + PER_SEQ_MS + ",\"context_per_k\":0.0,"
            + "\"read_per_s\":61400.0,\"pairs_per_m\":0.0,\"chunk\":512,\"report_lag_ms\":200.0,"
            + "\"usual\":{\"prompt\":10,\"answer\":97},\"Sets\":" + SETS + ",\"Experts\":" + EXPERTS
            + ",\"Placements\":" + PLACES + ",\"Spare\":" + SPARE + ",\"ExpertMb\":" + EXPERT_MB
            + ",\"ExpertShare\":" + SHARE + ",\"form_ms\":600.0}";
    }

    void start(String service) throws IOException {
        for (Rank rank : ranks) {
            String id = "i-" + rank.number;
            Fleet.Listener listener = fleet.new Listener("127.0.0.1", (socket, in, out) -> {
                byte[] copy = null;
                Http.Message request;
                while ((request = Http.read(in, false)) != null) {
                    if (copy != null) {
                        extraAnswers++;
                        fleet.record(id + ": sends its last answer on this channel again, before the "
                            + "answer to " + request.firstLine + " " + request.text());
                        out.write(copy);
                        out.flush();
                        copy = null;
                    }
                    if (request.path().startsWith("/api/")) {
                        byte[] answer = call(rank, request);
                        if (answer == null) {
                            // No answer; the channel stays open until the caller closes it.
                            in.readAllBytes();
                            return;
                        }
                        out.write(answer);
                        out.flush();
                        if (isSentTwice(rank)) copy = answer;
                    } else {
                        synchronized (this) {
                            rank.answers++;
                        }
                        stream(rank, request, out);
                        return;
                    }
                }
            });
            fleet.store.put("servers/" + id, "{\"Service\":\"" + service + "\",\"Address\":\""
                + listener.address + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":" + SLOTS
                + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"mixed\",\"Models\":[{\"Name\":"
                + "\"m\",\"Version\":1,\"Adapters\":[]}],\"Sequence\":1,\"group\":{\"Name\":\"g-1\","
                + "\"epoch\":" + EPOCH + ",\"rank\":" + rank.number + ",\"State\":\"open\"},\"size\":"
                + RANKS + ",\"born\":" + System.currentTimeMillis() + "}");
        }
        Fleet.daemon(this::runPasses);
    }

    /** Impairments last five seconds, with a second between two of them. */
    private boolean isImpaired() {
        return fleet.milliseconds() % 6_000 < 5_000;
    }

    /**
     * Whether an answer to a call is sent twice. Of all answers of a faulty rank, streams too, no
     * more than the share `extra` are.
     */
    private synchronized boolean isSentTwice(Rank rank) {
        rank.answers++;
        boolean isFaulty = rank.number < Math.floor(RANKS * faultyRanks) && isImpaired();
        if (!isFaulty || rank.answersSentTwice + 1 > extra * rank.answers) return false;
        rank.answersSentTwice++;
        return true;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    /** Other experts come into demand: a few get most of the choices. */
    synchronized void shiftDemand() {
        Random chooser = new Random(demandSeed++);
        demand = new double[SETS][EXPERTS];
        for (double[] set : demand) {
            java.util.Arrays.fill(set, 0.3 / EXPERTS);
            // The popular experts lie next to each other, so that one or two ranks hold them.
            int first = chooser.nextInt(EXPERTS);
            for (int i = 0; i < 4; i++) set[(first + i) % EXPERTS] += 0.7 / 4;
        }
        fleet.record("group: other experts are in demand");
    }

    private void runPasses() throws InterruptedException {
        while (true) {
            double pass;
            synchronized (this) {
                snapshot();
                boolean isHeld = ranks.stream().anyMatch(rank -> rank.held == step + 1);
                boolean isIdle = ranks.stream().allMatch(rank -> rank.streams == 0);
                if (isHeld || isIdle) {
                    wait(5);
                    continue;
                }
                beginPass();
                pass = passMilliseconds();
            }
            long end = System.nanoTime() + (long) (pass * 1_000_000);
            while (System.nanoTime() < end) {
                Thread.sleep(5);
                synchronized (this) {
                    snapshot();
                }
            }
            synchronized (this) {
                notifyAll();
            }
        }
    }

    private void beginPass() {
        step++;
        for (Rank rank : ranks) {
            if (rank.armed != 0 && rank.armedStep == step) {
                rank.map = rank.prepared;
                rank.armed = 0;
            }
            for (int set = 0; set < SETS; set++) {
                for (int expert = 0; expert < EXPERTS; expert++) {
                    rank.counts[set * EXPERTS + expert] +=
                        Math.round(demand[set][expert] * 400 * rank.streams);
                }
            }
        }
        if (ranks.stream().map(rank -> rank.map).distinct().count() == 1) return;
        if (ranks.stream().map(rank -> rank.map.number).distinct().count() == 1
            && ranks.stream().map(rank -> rank.map.experts).distinct().count() == 1) {
            return;
        }
        if (mixedPasses++ < 3) {
            fleet.record("group: pass " + step + " begins with maps of different versions: "
                + ranks.stream().map(rank -> rank.map.number).toList());
        }
    }

    private double passMilliseconds() {
        double mean = ranks.stream().mapToInt(rank -> rank.streams).average().orElse(0);
        double fullest = ranks.stream().mapToInt(rank -> rank.streams).max().orElse(0);
        double skews = 0;
        for (int set = 0; set < SETS; set++) {
            double[] load = new double[RANKS];
            for (int expert = 0; expert < EXPERTS; expert++) {
                List<Integer> holders = new ArrayList<>();
                for (Rank rank : ranks) {
                    if (rank.map.experts.get(set).get(rank.number).contains(expert)) {
                        holders.add(rank.number);
                    }
                }
                for (int holder : holders) load[holder] += demand[set][expert] / holders.size();
            }
            skews += java.util.Arrays.stream(load).max().orElse(0) * RANKS;
        }
        return (1 - SHARE) * STRIDE * (STEP_MS + PER_SEQ_MS * fullest)
            + SHARE * STRIDE * (STEP_MS + PER_SEQ_MS * mean) * skews / SETS;
    }

    /** Keeps the reports of the last moments; a rank reports its state as of a while ago. */
    private void snapshot() {
        long now = System.currentTimeMillis();
        for (Rank rank : ranks) {
            boolean isLoaded = rank.prepared != null && now >= rank.preparedAt;
            String report = "{\"Stage\":\"mixed\",\"Busy\":false,\"Sequence\":1,\"Queued\":0,"
                + "\"Active\":" + rank.streams + ",\"pace\":1.0,\"group\":{\"Name\":\"g-1\","
                + "\"epoch\":" + EPOCH + ",\"rank\":" + rank.number + ",\"State\":\"open\"},\"size\":"
                + RANKS + ",\"step\":" + step + ",\"Map\":" + rank.map.number
                + (isLoaded ? ",\"Prepared\":" + rank.prepared.number : "")
                + (rank.armed != 0 ? ",\"Armed\":" + rank.armed : "")
                + (rank.held >= 0 ? ",\"held\":" + rank.held : "") + "}";
            rank.reports.addLast(Map.entry(now, report));
            while (rank.reports.size() > 1 && rank.reports.peekFirst().getKey() < now - REPORT_LAG) {
                rank.reports.removeFirst();
            }
        }
    }

    private byte[] call(Rank rank, Http.Message request) {
        switch (request.path()) {
            case "/api/report" -> {
                synchronized (this) {
                    return json(200, rank.reports.peekFirst().getValue());
                }
            }
            case "/api/picked" -> {
                synchronized (this) {
                    String body = "{\"step\":" + step + ",\"epoch\":" + EPOCH;
                    if (!request.query().containsKey("Lists")) {
                        return json(200, body + ",\"Counts\":"
                            + java.util.Arrays.toString(rank.counts).replace(" ", "") + "}");
                    }
                    List<Set<Integer>> experts = new ArrayList<>();
                    for (int set = 0; set < SETS; set++) {
                        experts.add(rank.map.experts.get(set).get(rank.number));
                    }
                    return json(200, body + ",\"Map\":{\"Version\":" + rank.map.number
                        + ",\"Experts\":" + experts.toString().replace(" ", "") + "}}");
                }
            }
            case "/api/order" -> {
                @SuppressWarnings("unchecked")
                Map<String, Object> order = (Map<String, Object>) Json.parse(request.text());
                String name = "i-" + rank.number + ": " + order.get("Op") + " version "
                    + number(order, "Version") + " step " + number(order, "step");
                if (isImpaired() && draw() < late) {
                    long delay = 2_000 + (long) (draw() * 10_000);
                    lateOrders++;
                    fleet.record(name + " gets no answer and is carried out in " + delay + " ms");
                    Fleet.daemon(() -> {
                        Thread.sleep(delay);
                        fleet.record(name + " carried out late: " + carryOut(rank, order));
                    });
                    return null;
                }
                int status = carryOut(rank, order);
                fleet.record(name + " answered " + status);
                return json(status, "{}");
            }
            default -> {
                return json(404, "{}");
            }
        }
    }

    private static long number(Map<String, Object> order, String field) {
        Object value = order.get(field);
        return value == null ? 0 : ((Double) value).longValue();
    }

    private synchronized int carryOut(Rank rank, Map<String, Object> order) {
        if (order.containsKey("epoch") && number(order, "epoch") != EPOCH) return 409;
        long version = number(order, "Version");
        long at = number(order, "step");
        switch ((String) order.get("Op")) {
            case "prepare" -> {
                if (version <= rank.highest || rank.armed != 0) return 409;
                List<List<Set<Integer>>> experts = new ArrayList<>();
                int copies = 0;
                int most = 0;
                for (Object set : (List<?>) order.get("Map")) {
                    List<Set<Integer>> byRank = new ArrayList<>();
                    for (Object members : (List<?>) set) {
                        Set<Integer> held = new TreeSet<>();
                        for (Object expert : (List<?>) members) held.add(((Double) expert).intValue());
                        byRank.add(held);
                    }
                    Set<Integer> added = new TreeSet<>(byRank.get(rank.number));
                    added.removeAll(rank.map.experts.get(experts.size()).get(rank.number));
                    copies += added.size();
                    most = Math.max(most, added.size());
                    experts.add(byRank);
                }
                if (most > SPARE) return 409;
                rank.highest = version;
                rank.prepared = new Version(version, experts);
                rank.preparedAt = System.currentTimeMillis()
                    + Math.round(copies * EXPERT_MB * 8 / LINK_MBPS * 1_000);
                return 202;
            }
            case "arm" -> {
                if (rank.armed == version && rank.armedStep == at) return 200;
                boolean isLoaded = rank.prepared != null && rank.prepared.number == version
                    && System.currentTimeMillis() >= rank.preparedAt;
                if (!isLoaded || at <= step || rank.armed != 0) return 409;
                rank.armed = version;
                rank.armedStep = at;
                switches++;
                return 202;
            }
            case "disarm" -> {
                if (rank.map.number == version) return 409;
                if (rank.armed == version) rank.armed = 0;
                return 200;
            }
            case "Retention" -> {
                if (at <= step) return 409;
                if (rank.held == at) return 200;
                if (rank.held > step) return 409;
                rank.held = at;
                return 202;
            }
            case "go" -> {
                if (rank.held == at) rank.held = -1;
                notifyAll();
                return 200;
            }
            default -> {
                return 400;
            }
        }
    }

    private static byte[] json(int status, String body) {
        return Http.answer(status, "Content-Type: application/json\r\n", Http.bytes(body));
    }

    private void stream(Rank rank, Http.Message request, OutputStream out) throws Exception {
        String id = request.headers.get("Vanilladale-Request-Id");
        int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
        synchronized (this) {
            if (rank.streams >= SLOTS) {
                out.write(Http.answer(503, "Vanilladale-Not-Executed: 1\r\n", new byte[0]));
                out.flush();
                return;
            }
            rank.streams++;
            notifyAll();
        }
        try {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + "Vanilladale-Request-Id: " + id + "\r\nVanilladale-Server-Stamp: stamp." + id
                + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int event = from + 1; event <= 24; event++) {
                synchronized (this) {
                    long begun = step;
                    while (step == begun) wait(500);
                }
                String text = "id: " + event + "\ndata: piece\n\n";
                out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        } finally {
            synchronized (this) {
                rank.streams--;
            }
        }
    }
}
