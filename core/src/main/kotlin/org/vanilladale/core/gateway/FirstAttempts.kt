package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.Timestamp

/**
 * Estimates when callers made the first attempt of their requests. Not thread-safe; callers
 * synchronize access.
 *
 * A caller that returns after a refusal or a failure states the time that it has left, which is
 * less than what callers of the route usually state. Its latency goal counts from the first
 * attempt, so it may be late already, and a new request that can still be in time goes first. This
 * matters after the loss of entries, when many callers return at once.
 */
public class FirstAttempts {
    private class Patience(val validUntil: Deadline, var longestMilliseconds: Long)

    private val current = HashMap<RouteName, Patience>()
    private val previous = HashMap<RouteName, Long>()

    /**
     * Returns the estimated time of the first attempt of a request to [route] that arrived at
     * [arrivedAt] and whose caller gives up at [deadline].
     */
    public fun estimate(route: RouteName, arrivedAt: Timestamp, deadline: Deadline): Timestamp {
        val left = deadline.millisecondsLeft(arrivedAt)
        val longest = longestMilliseconds(route, left, arrivedAt)
        val elapsed = longest - left
        if (elapsed < MIN_ELAPSED_MILLISECONDS) return arrivedAt
        return Timestamp.fromEpochMilliseconds(arrivedAt.epochMilliseconds - elapsed)
    }

    /** Records [left] and returns the longest time that callers of [route] stated lately. */
    private fun longestMilliseconds(route: RouteName, left: Long, now: Timestamp): Long {
        val known = current[route]
        val patience = if (known == null || known.validUntil.hasPassed(now)) {
            if (known != null) previous[route] = known.longestMilliseconds
            Patience(now.deadlineAfter(PERIOD_MILLISECONDS), left).also { current[route] = it }
        } else {
            known
        }
        patience.longestMilliseconds = maxOf(patience.longestMilliseconds, left)
        return maxOf(patience.longestMilliseconds, previous[route] ?: 0)
    }

    private companion object {
        /** Callers of one route differ by some ten milliseconds; a return takes longer. */
        const val MIN_ELAPSED_MILLISECONDS = 100L

        /** Time after which the longest statement counts for one more period only. */
        const val PERIOD_MILLISECONDS = 10_000L
    }
}
