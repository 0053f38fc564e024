package org.vanilladale.core.retry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.vanilladale.core.gateway.RepeatRule
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp

/**
 * A forwarded request whose last attempt failed.
 *
 * @property runs number of attempts so far that may have run
 * @property sends number of attempts so far
 * @property mayHaveRun whether any attempt so far, including the last one, may have run
 */
public data class FailedRequest(
    val repeat: RepeatRule,
    val end: AttemptEnd,
    val runs: Int,
    val sends: Int,
    val maximumAttempts: Int,
    val deadline: Deadline,
) {
    val mayHaveRun: Boolean get() = runs > 0
}

/** Decides whether a forwarded request is sent to another target. */
public object ResendDecision {
    /** Maximum number of attempts at one request, including those that certainly did not run. */
    public const val MAXIMUM_SENDS: Int = 4

    /** Time left before the deadline below which no target could answer in time. */
    public const val MIN_LEFT_MILLISECONDS: Long = 20

    /**
     * Returns the reason of the next attempt, or the refusal for the caller.
     *
     * A request that may run only once is sent again only if all attempts so far certainly did not
     * run. [takeBudget] is called last, so that an attempt that isn't made costs no budget.
     */
    public fun decide(
        request: FailedRequest,
        now: Timestamp,
        takeBudget: () -> Boolean,
    ): Either<Refusal, RetryReason> = either {
        val run = if (request.mayHaveRun) RunState.UNKNOWN else RunState.NO
        val isLate = request.deadline.millisecondsLeft(now) < MIN_LEFT_MILLISECONDS
        ensure(!isLate) { Refusal(RefusalReason.DEADLINE_PASSED, run) }
        val failed = refusalOf(request.end, run)
        ensure(request.repeat.mayRunAgain || !request.mayHaveRun) { failed }
        ensure(request.runs < request.maximumAttempts && request.sends < MAXIMUM_SENDS) { failed }
        ensure(takeBudget()) {
            Refusal(
                RefusalReason.RETRY_BUDGET_EMPTY,
                run,
                detail = "the last attempt ended with ${request.end.reason.code}",
                retryAt = now.deadlineAfter(RETRY_AFTER_MILLISECONDS),
            )
        }
        request.end.reason
    }

    private fun refusalOf(end: AttemptEnd, run: RunState): Refusal = when {
        run == RunState.NO -> Refusal(
            RefusalReason.TARGET_OVERLOADED,
            run,
            detail = end.reason.code,
        )
        end == AttemptEnd.SILENT -> Refusal(RefusalReason.DEADLINE_PASSED, run)
        else -> Refusal(RefusalReason.TARGET_FAILED, run, detail = end.reason.code)
    }

    /** Time after which an overloaded or failing target has probably recovered. */
    private const val RETRY_AFTER_MILLISECONDS = 200L
}
