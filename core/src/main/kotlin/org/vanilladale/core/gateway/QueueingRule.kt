package org.vanilladale.core.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Load that a request meets when every place is taken.
 *
 * @property waiting requests of all entries that wait for a place
 * @property slots requests that the targets run at a time
 * @property serviceMilliseconds time for which a request takes its place
 */
public data class PoolBacklog(val waiting: Int, val slots: Int, val serviceMilliseconds: Double) {
    /** Predicted wait for a place in milliseconds; null when the pool has none. */
    public val waitMillisecondsOrNull: Long?
        get() = if (slots <= 0) null else ((waiting + 1) * serviceMilliseconds / slots).toLong()
}

/**
 * Decides whether a request waits for a place or is refused at once; answers bursts and lost
 * targets.
 *
 * A request waits if a place is predicted within [MAX_WAIT_MILLISECONDS] and early enough for its
 * deadline. Otherwise its caller is better off with a refusal now and the time at which to return.
 */
public object QueueingRule {
    /** Callers leave a stream after two seconds without an event, the first one included. */
    public const val MAX_WAIT_MILLISECONDS: Long = 1_200

    /** A return within less would meet the same load. */
    public const val MIN_RETRY_DELAY_MILLISECONDS: Long = 100

    /** Callers return after a third of the time that they have left at the latest. */
    private const val RETRY_DELAY_DIVISOR = 3

    /** Returns the deadline until which the request waits, or its refusal. */
    public fun decide(
        backlog: PoolBacklog,
        deadline: Deadline,
        now: Timestamp,
    ): Either<Refusal, Deadline> {
        val wait = backlog.waitMillisecondsOrNull
        val left = deadline.millisecondsLeft(now)
        val longest = minOf(MAX_WAIT_MILLISECONDS, left / 2)
        if (wait != null && wait <= longest) return now.deadlineAfter(longest).right()
        val retryDelay = ((wait ?: longest) - longest / 2)
            .coerceIn(
                MIN_RETRY_DELAY_MILLISECONDS,
                maxOf(
                    MIN_RETRY_DELAY_MILLISECONDS,
                    left / RETRY_DELAY_DIVISOR,
                ),
            )
        val reason =
            if (wait == null) RefusalReason.NO_TARGET else RefusalReason.TARGET_OVERLOADED
        return Refusal(
            reason,
            detail = "${backlog.waiting} requests wait for ${backlog.slots} places, " +
                "predicted wait ${wait ?: "unknown"} ms",
            retryAt = now.deadlineAfter(retryDelay),
        ).left()
    }
}
