package org.vanilladale.core.configuration

import kotlin.math.abs
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.membership.HeartbeatRule
import strikt.api.expectThat
import strikt.assertions.isLessThan

private const val FIRST_CHANGE_MILLISECONDS = 40_000L
private const val CHANGE_INTERVAL_MILLISECONDS = 27_000L

/**
 * Measures the control traffic, and the time until a revision is active everywhere, for several
 * fleet sizes in virtual time.
 */
class ConfigurationCostTest {
    private class Cost(
        val size: Int,
        val connections: Int,
        val bytesPerSecond: Double,
        val delays: List<Long>,
    )

    private fun measure(
        size: Int,
        wholeTables: Boolean,
        chords: Int = 7,
        changes: Int = 6,
        heartbeatMilliseconds: Long = 1_000,
    ): Cost {
        val links = sparseLinks(size, chords, Random(11))
        // Each process opens 1 + chords links and accepts the same number on average.
        val run = ConfigurationRun(
            11,
            size,
            links,
            wholeTables = wholeTables,
            heartbeatMilliseconds = heartbeatMilliseconds,
        )
        val written = mutableMapOf(1L to 0L)
        var current = tables(1, targets = 830, pools = 27)
        run.service = { current }
        repeat(size) { process -> run.at(run.random.nextLong(500)) { run.start(process) } }
        run.at(FIRST_CHANGE_MILLISECONDS - 1) { run.bytes = 0 }
        repeat(changes) { change ->
            run.at(FIRST_CHANGE_MILLISECONDS + change * CHANGE_INTERVAL_MILLISECONDS) {
                current = tables(change + 2L, targets = 830, pools = 27)
                written[change + 2L] = run.now
            }
        }
        run.runUntil(FIRST_CHANGE_MILLISECONDS + changes * CHANGE_INTERVAL_MILLISECONDS)
        val seconds = changes * CHANGE_INTERVAL_MILLISECONDS / 1_000.0
        val delays = (2L..changes + 1L).map { revision ->
            val activations = run.history.activations.filter { it.revision == revision }
            check(activations.map { it.process }.distinct().size == size) { "revision $revision" }
            activations.maxOf { it.at } - written.getValue(revision)
        }
        return Cost(size, 2 * links.size / size, run.bytes / seconds / size, delays.sorted())
    }

    private fun report(name: String, costs: List<Cost>) {
        costs.forEach {
            val fleet = "${it.size} processes, ${it.connections} connections"
            val median = it.delays[it.delays.size / 2]
            println(
                "configuration: cost $name, $fleet: %.1f bytes/s, ".format(it.bytesPerSecond) +
                    "active everywhere p50 $median ms, max ${it.delays.last()}",
            )
        }
        if (costs.size < 2) return
        val x = costs.map { it.size.toDouble() }
        val y = costs.map { it.bytesPerSecond }
        val slope = x.zip(y).sumOf { (a, b) -> (a - x.average()) * (b - y.average()) } /
            x.sumOf { (it - x.average()) * (it - x.average()) }
        val start = y.average() - slope * x.average()
        val error = x.zip(y).maxOf { (a, b) -> abs(start + slope * a - b) / b }
        println(
            "configuration: cost $name: %.1f + %.4f bytes/s per process, largest error %.1f %%"
                .format(start, slope, 100 * error),
        )
    }

    @Test
    fun `control traffic stays below 3 KB per second and activation below 16 s with deltas`() {
        val deltaCosts = listOf(20, 60, 180, 360).map { measure(it, wholeTables = false) }
        report("with deltas", deltaCosts)
        val wholeTableCosts = listOf(20, 60, 180, 360).map { measure(it, wholeTables = true) }
        report("with whole tables", wholeTableCosts)
        expectThat(deltaCosts.maxOf { it.bytesPerSecond }).isLessThan(3_000.0)
        expectThat(deltaCosts.maxOf { it.delays.last() }).isLessThan(16_000)
        expectThat(
            deltaCosts.last().bytesPerSecond,
        ).isLessThan(wholeTableCosts.last().bytesPerSecond)
    }

    /**
     * Guards against control traffic that grows too much with the number of connections, because
     * heartbeats carry the active revision on each of them.
     */
    @Test
    fun `control traffic stays below 3 KB per second with 100 connections per process`() {
        val cost = measure(180, wholeTables = false, chords = 75, changes = 2)
        report("many connections", listOf(cost))
        expectThat(cost.bytesPerSecond).isLessThan(3_000.0)
        expectThat(cost.delays.last()).isLessThan(16_000)
    }

    /**
     * Guards against late activation with long heartbeat intervals. Processes that are sent no
     * offer learn the revision only from heartbeats.
     */
    @Test
    fun `revisions are active within 16 s with the long heartbeats of many connections`() {
        val interval = HeartbeatRule(1_000, 2_000).intervalMilliseconds(432, false)
        val cost = measure(
            180,
            wholeTables = false,
            chords = 75,
            changes = 2,
            heartbeatMilliseconds = interval,
        )
        report("many connections, heartbeats of $interval ms", listOf(cost))
        expectThat(cost.bytesPerSecond).isLessThan(3_000.0)
        expectThat(cost.delays.last()).isLessThan(16_000)
    }
}
