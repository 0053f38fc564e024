package org.vanilladale.core.retry

import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.RepeatRule
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.status
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ResendDecisionTest {
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val notRunStatuses = setOf(408, 421, 429, 503)

    private fun request(
        repeat: RepeatRule,
        end: AttemptEnd,
        runs: Int = if (end.provenNotRun) 0 else 1,
        sends: Int = 1,
        left: Long = 1_000,
    ) = FailedRequest(repeat, end, runs, sends, 2, now.deadlineAfter(left))

    private fun decide(request: FailedRequest, budget: Boolean = true) =
        ResendDecision.decide(request, now) { budget }

    @Test
    fun `an order is sent again only if it certainly did not run`() {
        AttemptEnd.entries.forEach { end ->
            val again = decide(request(RepeatRule.AT_MOST_ONCE, end)).getOrNull()
            expectThat(again).describedAs(end.name)
                .isEqualTo(end.reason.takeIf { end.provenNotRun })
        }
    }

    @Test
    fun `an order that may have run in an earlier attempt is not sent again`() {
        val second = request(RepeatRule.AT_MOST_ONCE, AttemptEnd.NOT_SENT, runs = 1, sends = 2)
        expectThat(decide(second).getOrNull()).isNull()
    }

    @Test
    fun `a lookup and a resumable stream are sent again after any failure`() {
        listOf(RepeatRule.IDEMPOTENT, RepeatRule.RESUMABLE_STREAM).forEach { repeat ->
            AttemptEnd.entries.forEach { end ->
                expectThat(decide(request(repeat, end)).getOrNull()).isEqualTo(end.reason)
            }
        }
    }

    @Test
    fun `a refusal never states that a request did not run if it may have`() {
        cases().forEach { (failed, budget) ->
            val refusal = decide(failed, budget).leftOrNull()
            if (refusal != null && failed.mayHaveRun) {
                expectThat(refusal.run).isEqualTo(RunState.UNKNOWN)
                expectThat(refusal.status in notRunStatuses).isEqualTo(false)
            }
        }
    }

    /** Returns all ends of all kinds of request, with and without time, budget and earlier runs. */
    private fun cases(): List<Pair<FailedRequest, Boolean>> = RepeatRule.entries.flatMap { repeat ->
        AttemptEnd.entries.flatMap { end ->
            val minRuns = if (end.provenNotRun) 0 else 1
            listOf(0L, 1_000L).flatMap { left ->
                (minRuns..2).flatMap { runs ->
                    val failed = request(repeat, end, runs, sends = 4, left = left)
                    listOf(failed to true, failed to false)
                }
            }
        }
    }

    @Test
    fun `an empty budget, too little time and too many attempts end the request`() {
        val lookup = RepeatRule.IDEMPOTENT
        expectThat(decide(request(lookup, AttemptEnd.BROKEN), budget = false).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.RETRY_BUDGET_EMPTY)
        expectThat(decide(request(lookup, AttemptEnd.BROKEN, left = 10)).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.DEADLINE_PASSED)
        expectThat(decide(request(lookup, AttemptEnd.BROKEN, runs = 2)).leftOrNull()).isNotNull()
        expectThat(decide(request(lookup, AttemptEnd.REJECTED, sends = 4)).leftOrNull()?.reason)
            .isNotEqualTo(null)
    }
}
