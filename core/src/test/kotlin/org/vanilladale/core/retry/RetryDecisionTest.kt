package org.vanilladale.core.retry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class RetryDecisionTest {
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val targets = List(4) { TargetId.parse("target-$it") }
    private val request =
        RetriedRequest(idempotent = true, now.deadlineAfter(100), setOf(targets[0]))
    private val lost = AttemptFailure.fromRetryReason(RetryReason.CONNECTION_LOST)

    private fun choose(tried: Set<TargetId>): Either<Refusal, TargetId> =
        targets.firstOrNull { it !in tried }?.right()
            ?: Refusal(RefusalReason.NO_TARGET).left()

    private fun decide(
        failure: AttemptFailure,
        retried: RetriedRequest,
        budget: RetryBudget = RetryBudget(10, now),
    ) = RetryDecision.decide(failure, retried, budget, now, ::choose)

    private fun refused(reason: RefusalReason) = AttemptFailure.fromRefusal(Refusal(reason))

    @Test
    fun `only an idempotent request with time, attempts and targets left is sent again`() {
        expectThat(decide(lost, request).getOrNull())
            .isEqualTo(Retry(targets[1], RetryReason.CONNECTION_LOST))
        val stopped = listOf(
            Triple(lost, request.copy(idempotent = false), RefusalReason.TARGET_FAILED),
            Triple(
                refused(RefusalReason.LEAVING),
                request.copy(idempotent = false),
                RefusalReason.LEAVING,
            ),
            Triple(
                lost,
                request.copy(deadline = now.deadlineAfter(0)),
                RefusalReason.DEADLINE_PASSED,
            ),
            Triple(lost, request.copy(tried = targets.toSet()), RefusalReason.TARGET_FAILED),
            Triple(
                lost,
                request.copy(tried = targets.take(3).toSet()),
                RefusalReason.TARGET_FAILED,
            ),
            Triple(
                refused(RefusalReason.SUSPECT_CONVICTED),
                request,
                RefusalReason.SUSPECT_CONVICTED,
            ),
            Triple(refused(RefusalReason.CANCELLED), request, RefusalReason.CANCELLED),
        )
        for ((failure, retried, expected) in stopped) {
            expectThat(decide(failure, retried).leftOrNull()?.reason)
                .describedAs("$failure $retried").isEqualTo(expected)
        }
    }

    @Test
    fun `retries in an outage are limited to a share and leaving targets cost no budget`() {
        val budget = RetryBudget(10, now)
        var retries = 0
        repeat(1_000) {
            budget.countRequest()
            if (decide(lost, request, budget).isRight()) retries++
        }
        expectThat(retries).isLessThanOrEqualTo(105)
        val empty = decide(lost, request, budget).leftOrNull()
        expectThat(empty?.reason).isEqualTo(RefusalReason.RETRY_BUDGET_EMPTY)
        expectThat(empty?.run).isEqualTo(lost.refusal.run)
        expectThat(decide(refused(RefusalReason.LEAVING), request, budget).isRight())
            .isEqualTo(true)
        repeat(100_000) { budget.countRequest() }
        val burst = generateSequence { budget.tryTake(now) }.takeWhile { it }.count()
        expectThat(burst).describedAs("tokens are bounded").isEqualTo(20)
        val later = Timestamp.fromEpochMilliseconds(RetryBudget.FREE_TOKEN_MILLISECONDS)
        expectThat(List(2) { budget.tryTake(later) }).isEqualTo(listOf(true, false))
        expectThat(RetryBudget(0, now).tryTake(later)).isEqualTo(false)
    }

    @Test
    fun `a hedge is sent once, after the delay and only for idempotent lookups`() {
        val hedged = HedgedRequest(
            PoolType.SERVICE,
            idempotent = true,
            hedgeAt = now.deadlineAfter(0),
            deadline = now.deadlineAfter(100),
            tried = setOf(targets[0]),
        )
        val decide = { candidate: HedgedRequest, budget: RetryBudget ->
            HedgeDecision.decideOrNull(candidate, budget, now, ::choose)
        }
        expectThat(decide(hedged, RetryBudget(5, now)))
            .isEqualTo(Retry(targets[1], RetryReason.HEDGE))
        listOf(
            hedged.copy(poolType = PoolType.MODEL),
            hedged.copy(idempotent = false),
            hedged.copy(hedgeAt = now.deadlineAfter(1)),
            hedged.copy(deadline = now.deadlineAfter(0)),
            hedged.copy(tried = targets.take(2).toSet()),
        ).forEach { expectThat(decide(it, RetryBudget(5, now))).describedAs("$it").isNull() }
        expectThat(decide(hedged, RetryBudget(0, now))).isNull()
    }
}
