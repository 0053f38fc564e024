package org.vanilladale.core.gateway

import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.RunState
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/**
 * Guards against requests that wait for a slot until their callers have left. This happens after a
 * burst or the loss of targets.
 */
class QueueingRuleTest {
    private val deadline = at(0).deadlineAfter(8_000)

    private fun decide(waiting: Int, slots: Int, left: Long = 8_000) =
        QueueingRule.decide(PoolBacklog(waiting, slots, 1_500.0), at(0).deadlineAfter(left), at(0))

    @Test
    fun `a request waits if a slot is predicted in time`() {
        expectThat(decide(waiting = 20, slots = 96).getOrNull())
            .isEqualTo(at(0).deadlineAfter(QueueingRule.MAX_WAIT_MILLISECONDS))
    }

    @Test
    fun `a request that would wait too long is refused at once with a time for the retry`() {
        val refusal = decide(waiting = 200, slots = 96).leftOrNull()
        expectThat(refusal).isNotNull().and {
            get { reason }.isEqualTo(RefusalReason.TARGET_OVERLOADED)
            get { run }.isEqualTo(RunState.NO)
        }
        val retryDelay = refusal!!.retryAt!!.millisecondsLeft(at(0))
        expectThat(retryDelay).isGreaterThanOrEqualTo(QueueingRule.MIN_RETRY_DELAY_MILLISECONDS)
            .isLessThanOrEqualTo(deadline.epochMilliseconds / 3)
    }

    @Test
    fun `a request to a pool without slots is refused at once`() {
        expectThat(decide(waiting = 0, slots = 0).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.NO_TARGET)
    }

    @Test
    fun `a request waits for at most half of the time left until its deadline`() {
        expectThat(decide(waiting = 0, slots = 96, left = 400).getOrNull())
            .isEqualTo(at(0).deadlineAfter(200))
    }
}
