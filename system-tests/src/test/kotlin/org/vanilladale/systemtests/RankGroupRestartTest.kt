package org.vanilladale.systemtests

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** Guards against a step with two expert maps when agents restart with empty memory. */
class RankGroupRestartTest {
    private lateinit var group: RankGroupFleet

    private fun start(ignoreFencing: Boolean) {
        group = RankGroupFleet(ignoreFencing, listOf("north"))
    }

    @AfterEach
    fun stop() {
        group.close()
    }

    @Test
    fun `agents killed and restarted during switches break no step`() {
        start(ignoreFencing = false)
        group.withStreams { restartAgents() }
        group.expectOneDigestInEachStep("north")
    }

    @Test
    fun `agents of engines that ignore fencing are restarted and break no step`() {
        start(ignoreFencing = true)
        group.withStreams { restartAgents() }
        group.expectOneDigestInEachStep("north")
    }

    private fun restartAgents() {
        listOf(2, 0, 1, 3).forEach { rank ->
            group.awaitArmed("north")
            group.agent("north", rank).kill()
            Thread.sleep(100)
            group.startAgent("north", rank)
            group.awaitSwitches("north", 1)
        }
    }
}
