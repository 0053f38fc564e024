package org.vanilladale.core.gateway

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo

class PauseRuleTest {
    private val now = Timestamp.fromEpochMilliseconds(0)

    private fun at(milliseconds: Long) = Deadline.fromEpochMilliseconds(milliseconds)

    private fun decide(pauseEnd: Long, deadline: Long, random: Random = Random(1)) =
        PauseRule.decide(at(pauseEnd), at(deadline), now, random)

    @Test
    fun `a request waits for a pause that ends in time`() {
        expectThat(decide(200, 8_000).getOrNull()).isEqualTo(at(1_200))
        expectThat(decide(499, 1_000).getOrNull()).isEqualTo(at(500))
        expectThat(decide(500, 1_000).getOrNull()).isEqualTo(null)
        expectThat(decide(1_200, 8_000).getOrNull()).isEqualTo(null)
    }

    @Test
    fun `callers that are refused return after the pause and not at one moment`() {
        val random = Random(1)
        val refusals: List<Refusal> =
            List(100) { decide(2_500, 8_000, random).leftOrNull()!! }
        expectThat(refusals).all {
            get { run }.isEqualTo(RunState.NO)
            get { retryAt!! }.isGreaterThanOrEqualTo(at(2_500))
        }
        val times = refusals.map { it.retryAt!!.epochMilliseconds }
        expectThat(times.max() - times.min()).isGreaterThan(200)
    }
}
