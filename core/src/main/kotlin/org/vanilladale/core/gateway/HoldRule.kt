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
 * @property ahead requests of all entries that wait for a place
 * @property places requests that the targets run at a time
 * @property serviceMilliseconds time for which a request takes its place
 */
public data class PoolBacklog(val ahead: Int, val places: Int, val serviceMilliseconds: Double) {
    /** Predicted wait for a place in milliseconds; null when the pool has none. */
    public val waitMillisecondsOrNull: Long?
        get() = if (places <= 0) null else ((ahead + 1) * serviceMilliseconds / places).toLong()
}

/**
 * Decides whether a request waits for a place or is refused at once; answers bursts and lost
 * targets.
 *
 * A request waits if a place is predicted within [MOST_WAIT_MILLISECONDS] and early enough for its
 * deadline. Otherwise its caller is better off with a refusal now and the time at which to return.
 */
public object HoldRule {
    /** Callers leave a stream after two seconds without an event, the first one included. */
    public const val MOST_WAIT_MILLISECONDS: Long = 1_200

    /** A return within less would meet the same load. */
    public const val LEAST_RETURN_MILLISECONDS: Long = 100

    /** Callers return after a third of the time that they have left at the latest. */
    private const val RETURN_SHARE = 3

    /** Returns the deadline until which the request waits, or its refusal. */
    public fun decide(
        backlog: PoolBacklog,
        deadline: Deadline,
        now: Timestamp,
    ): Either<Refusal, Deadline> {
        val wait = backlog.waitMillisecondsOrNull
        val left = deadline.millisecondsLeft(now)
        val longest = minOf(MOST_WAIT_MILLISECONDS, left / 2)
        if (wait != null && wait <= longest) return now.deadlineAfter(longest).right()
        val returnIn = ((wait ?: longest) - longest / 2)
            .coerceIn(
                LEAST_RETURN_MILLISECONDS,
                maxOf(
                    LEAST_RETURN_MILLISECONDS,
                    left / RETURN_SHARE,
                ),
            )
        val reason =
            if (wait == null) RefusalReason.NO_TARGET else RefusalReason.TARGET_OVERLOADED
        return Refusal(
            reason,
            detail = "${backlog.ahead} requests wait for ${backlog.places} places, " +
                "predicted wait ${wait ?: "unknown"} ms",
            retryAt = now.deadlineAfter(returnIn),
        ).left()
    }
}
