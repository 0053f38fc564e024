package org.vanilladale.core.retry

import arrow.core.Either
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * A request that has no answer yet.
 *
 * @property hedgeAt time of the first attempt plus the hedge delay of the route
 * @property tried targets of all attempts so far
 */
public data class HedgedRequest(
    val poolType: PoolType,
    val idempotent: Boolean,
    val hedgeAt: Deadline,
    val deadline: Deadline,
    val tried: Set<TargetId>,
)

/** Decides whether a request is also sent to a second target. */
public object HedgeDecision {
    /**
     * Returns the second attempt, or null if none is to be made at [now].
     *
     * Only idempotent requests to plain services are hedged, because a hedge of a model request
     * would occupy a slot and cache memory for a whole answer.
     *
     * @param budget the hedge budget, which is separate from the retry budget
     */
    public fun decideOrNull(
        request: HedgedRequest,
        budget: RetryBudget,
        now: Timestamp,
        choose: (tried: Set<TargetId>) -> Either<Refusal, TargetId>,
    ): Retry? {
        val allowed = request.idempotent && request.poolType == PoolType.SERVICE
        val due = request.hedgeAt.hasPassed(now) && !request.deadline.hasPassed(now)
        if (!allowed || !due || request.tried.size != 1) return null
        val target =
            choose(request.tried).getOrNull()?.takeIf { it !in request.tried } ?: return null
        return if (budget.tryTake(now)) Retry(target, RetryReason.HEDGE) else null
    }
}
