package org.vanilladale.core.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Load of a pool whose slots are all taken.
 *
 * @property waiting number of requests at all entries that wait for a slot
 * @property slots number of requests that the targets run at a time
 * @property serviceMilliseconds time for which a request occupies its slot
 */
public data class PoolBacklog(val waiting: Int, val slots: Int, val serviceMilliseconds: Double) {
    /** Predicted wait for a slot in milliseconds, or null if the pool has no slots. */
    public val waitMillisecondsOrNull: Long?
        get() = if (slots <= 0) null else ((waiting + 1) * serviceMilliseconds / slots).toLong()
}

/**
 * Decides whether a request waits for a slot or is refused at once.
 *
 * The rule applies when a burst of requests or the loss of targets leaves no free slot. A request
 * waits if a slot is predicted within [MAX_WAIT_MILLISECONDS] and within half of the time left
 * until its deadline. Otherwise it is refused at once with the time at which the caller may retry.
 */
public object QueueingRule {
    /**
     * Maximum wait for a slot. Callers abandon a stream after two seconds without an event, also
     * before the first event.
     */
    public const val MAX_WAIT_MILLISECONDS: Long = 1_200

    /** Minimum delay of a retry; an earlier retry would find the same load. */
    public const val MIN_RETRY_DELAY_MILLISECONDS: Long = 100

    /** The delay of a retry is at most the time left until the deadline, divided by this. */
    private const val RETRY_DELAY_DIVISOR = 3

    /**
     * Returns the deadline for the wait, or the refusal of the request.
     *
     * @param spread position of the time to return between the predicted time and one and a half
     *   times that, in 0..1. Callers that were refused together then don't return together
     */
    public fun decide(
        backlog: PoolBacklog,
        deadline: Deadline,
        now: Timestamp,
        spread: Double = 0.0,
    ): Either<Refusal, Deadline> {
        val wait = backlog.waitMillisecondsOrNull
        val longest = longestWaitMilliseconds(deadline, now)
        if (wait != null && wait <= longest) return now.deadlineAfter(longest).right()
        return refusal(backlog, deadline, now, spread).left()
    }

    /** Returns the refusal of a request for which [backlog] is too long; see [decide]. */
    public fun refusal(
        backlog: PoolBacklog,
        deadline: Deadline,
        now: Timestamp,
        spread: Double = 0.0,
    ): Refusal {
        val wait = backlog.waitMillisecondsOrNull
        val longest = longestWaitMilliseconds(deadline, now)
        val most = maxOf(
            MIN_RETRY_DELAY_MILLISECONDS,
            deadline.millisecondsLeft(now) / RETRY_DELAY_DIVISOR,
        )
        val predicted = ((wait ?: longest) - longest / 2)
            .coerceIn(MIN_RETRY_DELAY_MILLISECONDS, most)
        val spreadDelay = (spread * predicted / 2).toLong()
        // A time beyond the longest is spread over the time before it instead.
        val retryDelay = if (predicted + spreadDelay <= most) {
            predicted + spreadDelay
        } else {
            maxOf(MIN_RETRY_DELAY_MILLISECONDS, most - spreadDelay)
        }
        val reason =
            if (wait == null) RefusalReason.NO_TARGET else RefusalReason.TARGET_OVERLOADED
        return Refusal(
            reason,
            detail = "${backlog.waiting} requests wait for ${backlog.slots} places, " +
                "predicted wait ${wait ?: "unknown"} ms",
            retryAt = now.deadlineAfter(retryDelay),
        )
    }

    private fun longestWaitMilliseconds(deadline: Deadline, now: Timestamp): Long =
        minOf(MAX_WAIT_MILLISECONDS, deadline.millisecondsLeft(now) / 2)
}
