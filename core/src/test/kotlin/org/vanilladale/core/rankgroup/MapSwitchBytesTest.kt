package org.vanilladale.core.rankgroup

import kotlin.math.abs
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against switches whose bytes grow with the size of the group instead of the change. */
class MapSwitchBytesTest {
    private class Measurement(val ranks: Int, val experts: Int, val moved: Int, val bytes: Long)

    private val measurements = listOf(64, 128, 256).flatMap { experts ->
        listOf(4, 8, 16, 32).flatMap { ranks ->
            listOf(1, 60, 960).map { Measurement(ranks, experts, it, bytes(ranks, experts, it)) }
        }
    }

    private fun bytes(ranks: Int, experts: Int, moved: Int): Long = RankGroupSimulation(
        SimulationSetup(
            1,
            ranks,
            keepsFencing = true,
            faultsUntil = 0,
            coordinatorCount = 1,
            experts = LAYERS * experts,
            measureBytes = true,
            movedExperts = moved,
        ),
    ).runFirstSwitch().bytes

    @Test
    fun `bytes of a switch follow the changed experts and stay within the budget`() {
        // Least-squares fit of: bytes per rank = fixed + perChange * changed experts.
        val changes = measurements.map { it.moved.toDouble() }
        val bytesPerRank = measurements.map { it.bytes.toDouble() / it.ranks }
        val meanChanges = changes.average()
        val perChange = changes.zip(bytesPerRank)
            .sumOf { (x, y) -> (x - meanChanges) * (y - bytesPerRank.average()) } /
            changes.sumOf { (it - meanChanges) * (it - meanChanges) }
        val fixed = bytesPerRank.average() - perChange * meanChanges
        val error = measurements.indices.maxOf {
            abs(bytesPerRank[it] - fixed - perChange * changes[it]) / bytesPerRank[it]
        }
        measurements.groupBy { it.ranks to it.experts }.forEach { (size, group) ->
            val text = group.joinToString { "${it.moved} changed: ${it.bytes}" }
            println(
                "rank group: ${size.first} ranks, $LAYERS x ${size.second} experts, $text bytes",
            )
        }
        println(
            "rank group: bytes per rank = %.1f + %.2f x changed, largest error %.1f %%"
                .format(fixed, perChange, error * 100),
        )
        val fullMapBytes = bytes(32, 256, moved = LAYERS * 256)
        println(
            "rank group: 32 ranks, $LAYERS x 256 experts as a full map, $fullMapBytes bytes",
        )
        measurements.groupBy { it.ranks to it.moved }.values.forEach { sameChange ->
            val least = sameChange.minOf { it.bytes }
            expectThat(sameChange.maxOf { it.bytes } - least).isLessThan(least / 4)
        }
        val largest = measurements.filter { it.ranks == 32 && it.moved == 960 }.maxOf { it.bytes }
        expectThat(largest).isLessThan(BUDGET_BYTES_PER_SECOND * COOL_DOWN_SECONDS)
        expectThat(fullMapBytes).isGreaterThan(4 * largest)
    }

    private companion object {
        const val LAYERS = 60

        /** Minimum time between two changes of a group by the planner. */
        const val COOL_DOWN_SECONDS = 120L
        const val BUDGET_BYTES_PER_SECOND = 3_000L
    }
}
