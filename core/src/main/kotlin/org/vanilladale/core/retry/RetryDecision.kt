package org.vanilladale.core.retry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * A failed attempt.
 *
 * @property refusal refusal for the caller if no other attempt is made
 * @property retryReason reason to try another target, or null if another target would not help
 */
public data class AttemptFailure(val refusal: Refusal, val retryReason: RetryReason?) {
    public companion object {
        /** Returns the failure of an attempt that an agent refused. */
        public fun fromRefusal(refusal: Refusal): AttemptFailure =
            AttemptFailure(refusal, retryReasonOrNull(refusal.reason))

        /** Returns the failure of an attempt whose connection or target failed. */
        public fun fromRetryReason(reason: RetryReason): AttemptFailure {
            val run = if (reason == RetryReason.CONNECT_FAILED) RunState.NO else RunState.UNKNOWN
            return AttemptFailure(Refusal(RefusalReason.TARGET_FAILED, run), reason)
        }

        private fun retryReasonOrNull(reason: RefusalReason): RetryReason? = when (reason) {
            RefusalReason.TARGET_OVERLOADED, RefusalReason.DEADLINE_TOO_SHORT ->
                RetryReason.TARGET_OVERLOADED

            RefusalReason.LEAVING -> RetryReason.TARGET_LEAVING

            // The target lost its version or adapter after its last report. Others may have it.
            RefusalReason.LOADING, RefusalReason.NO_ADAPTER -> RetryReason.TARGET_LOADING

            RefusalReason.TARGET_FAILED -> RetryReason.TARGET_FAILED

            RefusalReason.SUSPECT_WAITING -> RetryReason.SUSPECT_ISOLATED

            else -> null
        }
    }
}

/**
 * A request with a failed attempt.
 *
 * @property tried targets of all attempts so far
 */
public data class RetriedRequest(
    val idempotent: Boolean,
    val deadline: Deadline,
    val tried: Set<TargetId>,
)

/** Another attempt at [target]. */
public data class Retry(val target: TargetId, val reason: RetryReason)

/** Decides whether a failed request is sent to another target. */
public object RetryDecision {
    /** Maximum number of attempts at one request, including the first one. */
    public const val MAXIMUM_ATTEMPTS: Int = 3

    private val plannedReasons = setOf(RetryReason.TARGET_LEAVING, RetryReason.TARGET_LOADING)

    /**
     * Returns the next attempt, or the refusal for the caller.
     *
     * A non-idempotent request is never sent to another target. A retry after the refusal of a
     * leaving or loading target takes nothing from the budget: such a refusal is no sign of
     * overload, and callers must not notice planned stops and rollouts.
     *
     * @param choose returns a target that is not in the given set, or the refusal of TargetChoice
     */
    public fun decide(
        failure: AttemptFailure,
        request: RetriedRequest,
        budget: RetryBudget,
        now: Timestamp,
        choose: (tried: Set<TargetId>) -> Either<Refusal, TargetId>,
    ): Either<Refusal, Retry> = either {
        val reason = failure.retryReason
        ensure(request.idempotent && reason != null) { failure.refusal }
        ensure(request.tried.size < MAXIMUM_ATTEMPTS) { failure.refusal }
        ensure(!request.deadline.hasPassed(now)) {
            Refusal(RefusalReason.DEADLINE_PASSED, failure.refusal.run)
        }
        val target = choose(request.tried).getOrNull()
        ensure(target != null && target !in request.tried) { failure.refusal }
        ensure(reason in plannedReasons || budget.tryTake(now)) {
            Refusal(
                RefusalReason.RETRY_BUDGET_EMPTY,
                failure.refusal.run,
                detail = "the last attempt ended with ${reason.code}",
                retryAt = failure.refusal.retryAt,
            )
        }
        Retry(target, reason)
    }
}
