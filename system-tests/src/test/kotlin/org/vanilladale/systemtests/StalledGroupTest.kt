package org.vanilladale.systemtests

import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against new work that goes to a group whose steps stand still. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StalledGroupTest {
    private lateinit var groups: RankGroupFleet

    @BeforeAll
    fun start() {
        groups = RankGroupFleet(ignoreFencing = false, listOf("north", "south"))
    }

    @AfterAll
    fun stop() {
        groups.close()
    }

    @Test
    fun `a stalled group's new work goes to another group and returns`() {
        groups.control("north", 2, """{"stallMilliseconds": $STALL_MILLISECONDS}""")
        val stalledAt = System.nanoTime()
        Thread.sleep(MARK_MILLISECONDS)
        val southBefore = started("south")
        val slowest = (1..DRAFTS).maxOf {
            val startedAt = System.nanoTime()
            groups.startStreams(1).single().join()
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
        }
        val stalledFor = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stalledAt)
        println("slowest draft $slowest ms while north stalled, end after $stalledFor ms")
        expectThat(stalledFor).isLessThan(STALL_MILLISECONDS)
        expectThat(started("south") - southBefore).isEqualTo(DRAFTS)
        groups.fleet.await("work that returns to north") {
            val before = started("north")
            groups.startStreams(DRAFTS).forEach { it.join() }
            started("north") > before
        }
        expectThat(started("north")).isGreaterThan(0)
    }

    /** Requests that the engines of [group] have started. */
    private fun started(group: String): Int = RankGroupFleet.ranks.sumOf { rank ->
        groups.streams(group, rank)
    }

    private companion object {
        const val STALL_MILLISECONDS = 12_000L
        const val MARK_MILLISECONDS = 1_500L
        const val DRAFTS = 5
    }
}
