package org.vanilladale.systemtests

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** Guards against a step with two expert maps when the coordinator pauses or a rank stalls. */
class RankGroupTest {
    private lateinit var group: RankGroupFleet

    private fun start(ignoreFencing: Boolean) {
        group = RankGroupFleet(ignoreFencing, listOf("north"))
    }

    @AfterEach
    fun stop() {
        group.close()
    }

    @Test
    fun `switches under load complete with one map in each step`() {
        start(ignoreFencing = false)
        group.withStreams {
            group.awaitSwitches("north", 5)
            group.awaitReplicas("north")
        }
        group.expectOneDigestInEachStep("north")
    }

    @Test
    fun `a coordinator paused beyond its lease breaks no step`() {
        start(ignoreFencing = false)
        group.withStreams {
            repeat(2) {
                group.awaitSwitches("north", 1)
                group.awaitArmed("north")
                group.agent("north", 0).pause()
                Thread.sleep(2 * RankGroupFleet.LEASE_MILLISECONDS + 200)
                group.agent("north", 0).resume()
            }
            group.awaitSwitches("north", 2)
        }
        group.expectOneDigestInEachStep("north")
    }

    @Test
    fun `a rank that stalls during a switch breaks no step`() {
        start(ignoreFencing = true)
        group.withStreams {
            listOf(3, 1).forEach { rank ->
                group.awaitArmed("north")
                group.control("north", rank, """{"stallMilliseconds": 1500}""")
                Thread.sleep(1_700)
            }
            group.awaitSwitches("north", 2)
        }
        group.expectOneDigestInEachStep("north")
    }
}
