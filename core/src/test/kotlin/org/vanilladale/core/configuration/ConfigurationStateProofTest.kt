package org.vanilladale.core.configuration

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Tables
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

private const val SEEDS = 300
private const val SEEDS_WITHOUT_RULE = 100L
private const val RACE_SEEDS = 100
private const val PROCESSES = 9

/**
 * Checks invariant I7 of docs/design.md: an active revision becomes active at every connected
 * process within 16 s and is never reverted.
 */
class ConfigurationStateProofTest {
    private fun faultyRun(seed: Long, rules: ConfigurationRules, heartbeats: Boolean = true) =
        FaultySchedule(seed, rules, heartbeats).run()

    private fun violations(
        rules: ConfigurationRules,
        heartbeats: Boolean = true,
        seeds: Long = SEEDS_WITHOUT_RULE,
    ) = (0L until seeds).flatMap { seed ->
        faultyRun(seed, rules, heartbeats).history.violations().map { seed to it }
    }

    private fun List<Pair<Long, String>>.report(name: String) = also { found ->
        println("configuration: $name: runs with ${found.groupingBy { it.second }.eachCount()}")
    }.map { it.second }.toSet()

    @Test
    fun `no run violates the rules`() {
        var activationCount = 0
        val alarms = mutableMapOf<ConfigurationAlarm, Int>()
        val found = (0L until SEEDS).flatMap { seed ->
            val run = faultyRun(seed, ConfigurationRules())
            activationCount += run.history.activations.size
            run.alarms.forEach { (alarm, count) -> alarms.merge(alarm, count, Int::plus) }
            run.history.violations().map { seed to it }
        }
        println("configuration: $activationCount activations, alarms $alarms")
        found.report("all rules")
        expectThat(found).isEmpty()
        expectThat(activationCount).isGreaterThan(SEEDS * PROCESSES)
        expectThat(alarms.keys).contains(ConfigurationAlarm.SAME_REVISION_OTHER_CONTENT)
    }

    @Test
    fun `accepting a revision on first sight loses it and allows two contents`() {
        // Two contents become active in about 1 of 100 runs, so all seeds of the proof are needed.
        val rules = ConfigurationRules(accepts = { true })
        val found = violations(rules, seeds = SEEDS.toLong()).report("accepted when seen")
        expectThat(found).contains("two contents", "lost")
    }

    /** Runs 60 processes, many of which read two contents of a revision at almost the same time. */
    private fun raceViolations(rules: ConfigurationRules) = (0L until RACE_SEEDS).flatMap { seed ->
        val run = ConfigurationRun(seed, 60, sparseLinks(60, chords = 1, Random(seed)), rules)
        var revision = 1L
        var variants = 1
        run.service = { tables(revision, run.random.nextInt(variants)) }
        repeat(60) { process -> run.at(run.random.nextLong(500)) { run.start(process) } }
        run.at(20_000) {
            revision = 2
            variants = 2
        }
        run.at(50_000) { revision = 3 }
        run.runUntil(80_000)
        run.history.violations().map { seed to it }
    }

    @Test
    fun `two contents that are read at the same time never both become active`() {
        expectThat(raceViolations(ConfigurationRules()).report("race, all rules")).isEmpty()
    }

    @Test
    fun `accepting without the settling time allows two contents`() {
        val rules = ConfigurationRules(
            accepts = { isDurablyStored(it.copy(settled = true, contested = false)) },
        )
        expectThat(raceViolations(rules).report("race, no settling time")).contains("two contents")
    }

    /**
     * Runs in which a process isolated by a partition is the only reader of a revision and stops.
     */
    private fun isolatedReaderViolations(rules: ConfigurationRules) = (0L until 100).flatMap {
        val run =
            ConfigurationRun(it, PROCESSES, sparseLinks(PROCESSES, chords = 1, Random(it)), rules)
        val reader = (it % PROCESSES).toInt()
        var answers = { _: Int -> true }
        var revision = 1L
        run.service = { process -> tables(revision).takeIf { answers(process) } }
        repeat(PROCESSES) { process -> run.start(process) }
        run.at(20_000) {
            run.block { a, b -> a == reader || b == reader }
            answers = { process -> process == reader }
            revision = 2
        }
        run.at(36_000) {
            answers = { false }
            run.kill(reader)
        }
        run.at(40_000) {
            run.block { _, _ -> false }
            run.start(reader)
        }
        run.runUntil(80_000)
        run.history.violations().map { violation -> it to violation }
    }

    @Test
    fun `accepting a revision that no other process stores loses it`() {
        val stored = isolatedReaderViolations(ConfigurationRules())
        expectThat(stored.report("isolated reader, all rules")).isEmpty()
        val rules = ConfigurationRules(accepts = { it.settled && !it.contested })
        val found = isolatedReaderViolations(rules).report("isolated reader, settled is enough")
        expectThat(found).contains("lost")
    }

    @Test
    fun `accepting a lower revision reverts a process`() {
        val rules = ConfigurationRules(mayReplace = { current, next -> current != next })
        val found = violations(rules, seeds = 20).report("lower accepted")
        expectThat(found).contains("lower revision")
    }

    @Test
    fun `a restarted process that receives no offers from peers gets its tables too late`() {
        val withOffers = violations(ConfigurationRules(), heartbeats = false)
        expectThat(withOffers.report("peers asked, no heartbeats")).isEmpty()
        val rules = ConfigurationRules(offersOnConnect = { emptyList() })
        val found = violations(rules, heartbeats = false).report("no peers asked, no heartbeats")
        expectThat(found).contains("late")
    }

    @Test
    fun `1190 processes make less than 200 reads per second even when all restart`() {
        val run = ConfigurationRun(7, 1_190, emptyList(), heartbeats = false)
        val old = tables(1)
        run.service = { if (run.now in 100_000..160_000) null else old }
        repeat(1_190) { process ->
            run.at(0) { run.start(process) }
            run.at(60_000) { run.kill(process) }
            run.at(60_001) { run.start(process) }
        }
        run.runUntil(300_000)
        val busiest = run.history.readsInBusiestSecond()
        println("configuration: ${run.history.reads.size} reads, $busiest in the busiest second")
        expectThat(busiest).isLessThan(200)
    }

    @Test
    fun `a process without peers accepts only after the wait for peers`() {
        val run = ConfigurationRun(1, 1, emptyList())
        run.service = { tables(1) }
        run.start(0)
        run.runUntil(30_000)
        expectThat(run.history.activations.size).isEqualTo(1)
        expectThat(run.history.activations.single().at).isGreaterThan(9_999)
    }

    @Test
    fun `two contents on the sides of a partition are reported and a new revision resolves them`() {
        val run = ConfigurationRun(1, PROCESSES, sparseLinks(PROCESSES, chords = 2, Random(1)))
        var revision = 1L
        run.service =
            { process -> tables(revision, if (process % 3 == 0 && revision == 2L) 1 else 0) }
        repeat(PROCESSES) { run.start(it) }
        run.at(20_000) {
            run.block { a, b -> (a % 3 == 0) != (b % 3 == 0) }
            revision = 2
        }
        run.at(100_000) { run.block { _, _ -> false } }
        run.at(110_000) { revision = 3 }
        run.runUntil(140_000)
        println("configuration: partition with two contents: ${run.history.violations()}")
        expectThat(run.alarms.keys).contains(ConfigurationAlarm.SAME_REVISION_OTHER_CONTENT)
        val last = run.history.activations.groupBy { it.process }.values.map { it.last() }
        expectThat(last.map { it.revision to it.digest }.distinct().size).isEqualTo(1)
    }
}
