package org.vanilladale.core.rankgroup

import kotlin.math.abs
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against switches whose bytes grow with the experts of a group instead of the changes. */
class MapSwitchBytesTest {
    private class Point(val ranks: Int, val experts: Int, val moved: Int, val bytes: Long)

    private val points = listOf(64, 128, 256).flatMap { experts ->
        listOf(4, 8, 16, 32).flatMap { ranks ->
            listOf(1, 60, 960).map { Point(ranks, experts, it, bytes(ranks, experts, it)) }
        }
    }

    private fun bytes(ranks: Int, experts: Int, moved: Int): Long = RankGroupSimulation(
        Setup(
            1,
            ranks,
            keepsFencing = true,
            faultsUntil = 0,
            coordinatorCount = 1,
            experts = LAYERS * experts,
            measured = true,
            moved = moved,
        ),
    ).runFirstSwitch().bytes

    @Test
    fun `bytes of a switch follow the changed experts and stay within the budget`() {
        // Bytes a rank = fixed + perChange x changed experts, by least squares.
        val changes = points.map { it.moved.toDouble() }
        val each = points.map { it.bytes.toDouble() / it.ranks }
        val mean = changes.average()
        val perChange = changes.zip(each).sumOf { (x, y) -> (x - mean) * (y - each.average()) } /
            changes.sumOf { (it - mean) * (it - mean) }
        val fixed = each.average() - perChange * mean
        val error = points.indices.maxOf {
            abs(each[it] - fixed - perChange * changes[it]) / each[it]
        }
        points.groupBy { it.ranks to it.experts }.forEach { (size, group) ->
            val text = group.joinToString { "${it.moved} changed: ${it.bytes}" }
            println(
                "rank group: ${size.first} ranks, $LAYERS x ${size.second} experts, $text bytes",
            )
        }
        println(
            "rank group: bytes a rank = %.1f + %.2f x changed, largest error %.1f %%"
                .format(fixed, perChange, error * 100),
        )
        val whole = bytes(32, 256, moved = LAYERS * 256)
        println("rank group: 32 ranks, $LAYERS x 256 experts as a whole map, $whole bytes")
        points.groupBy { it.ranks to it.moved }.values.forEach { sameChange ->
            val least = sameChange.minOf { it.bytes }
            expectThat(sameChange.maxOf { it.bytes } - least).isLessThan(least / 4)
        }
        val largest = points.filter { it.ranks == 32 && it.moved == 960 }.maxOf { it.bytes }
        expectThat(largest).isLessThan(BUDGET_BYTES_PER_SECOND * COOL_DOWN_SECONDS)
        expectThat(whole).isGreaterThan(4 * largest)
    }

    private companion object {
        const val LAYERS = 60

        /** The planner changes a group at most once in this time. */
        const val COOL_DOWN_SECONDS = 120L
        const val BUDGET_BYTES_PER_SECOND = 3_000L
    }
}
