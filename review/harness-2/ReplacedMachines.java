import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Case 10: machines fail and are replaced by others, one at a time; the directory goes on naming them. */
final class ReplacedMachines {
    private static final int CONTACT_MILLIS = 4_000;
    private static final int SLACK_MILLIS = 3_000;
    private static final double WATCHED_SECONDS = 15;

    public static void main(String[] arguments) {
        Kit.run(arguments[0], ReplacedMachines::run);
    }

    private static void run(Kit kit) throws Exception {
        kit.startStore();
        Replica app = kit.use(new Replica(kit, kit.host(100), "i-app1"));
        kit.configure(7, Kit.service("orders"),
            Kit.route("r-order", "/orders/", "non_idempotent", "orders", 2_000, 1));
        kit.register("i-app1", "orders", app.address(), "ready", 1_790_000_000_000L);
        List<String> seeds = List.of(kit.host(1), kit.host(2), kit.host(3));
        List<Entry> running = new ArrayList<>();
        List<Entry> dead = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            running.add(kit.startEntry(number, "za-gauteng-a", seeds, List.of()));
        }
        for (Entry entry : running) {
            if (!entry.awaitReady(25_000)) kit.cannotRun(entry.host + " did not become ready");
        }
        Thread.sleep(CONTACT_MILLIS + 1_000);
        Entry oldest = running.get(0);
        Caller directory = kit.use(new Caller(oldest.host + ":" + Kit.DIRECTORY));
        kit.say("directory of " + oldest.host + ": " + ask(directory));
        for (int number = 4; number <= 6; number++) {
            if (kit.trouble) {
                Entry failed = running.remove(1);
                failed.signal("KILL");
                dead.add(failed);
                kit.say(failed.host + " is killed and not started again");
                Entry other = kit.startEntry(number, "za-gauteng-a", seeds, List.of());
                if (!other.awaitReady(25_000)) kit.cannotRun(other.host + " did not become ready");
                running.add(other);
                kit.say(other.host + " has taken its place and is ready");
            }
            Thread.sleep(CONTACT_MILLIS + 1_000);
            kit.say("directory of " + oldest.host + ": " + ask(directory));
        }
        Thread.sleep(SLACK_MILLIS);
        int answers = 0;
        int wrong = 0;
        for (double until = kit.seconds() + WATCHED_SECONDS; kit.seconds() < until;) {
            String answer = ask(directory);
            answers++;
            boolean isWrong = names(answer, dead) && names(answer, running);
            if (isWrong) wrong++;
            kit.say((isWrong ? "names a dead machine: " : "") + answer);
            Thread.sleep(500);
        }
        if (answers == 0) kit.cannotRun("the directory was not asked");
        kit.end(wrong > 3, wrong + " of " + answers + " answers of the directory named a machine that"
            + " had been killed over " + (CONTACT_MILLIS + SLACK_MILLIS) + " ms before");
    }

    private static boolean names(String answer, List<Entry> entries) {
        return entries.stream().anyMatch(entry -> answer.contains("\"" + entry.front() + "\""));
    }

    private static String ask(Caller directory) {
        Caller.Answer answer = directory.send("GET",
            "/api/resolve?Name=ficu95.example&Region=za-gauteng&Zone=za-gauteng-a",
            "Host: directory\r\n", new byte[0], 1_000);
        return answer.status() + " "
            + (answer.body() == null ? answer.fault() : new String(answer.body(), StandardCharsets.UTF_8));
    }
}
