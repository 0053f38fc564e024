package org.vanilladale.core.retry

import org.vanilladale.schema.Timestamp

/**
 * Budget of retries or hedges of one route at one entry. Keep it under a lock.
 *
 * A token bucket: each first attempt adds [percent] hundredths of a token, each retry takes a whole
 * one. The bound on the tokens makes it a share of the recent requests only, and one token each
 * [FREE_TOKEN_MILLISECONDS] keeps retries possible on a route with few requests.
 */
public class RetryBudget(private val percent: Int, startedAt: Timestamp) {
    private val enabled = percent > 0
    private var tokens = if (enabled) INITIAL_TOKENS else 0.0
    private var freeTokenAt = startedAt.deadlineAfter(FREE_TOKEN_MILLISECONDS)

    init {
        require(percent in 0..PERCENT) { "The budget must be 0 to 100 percent; found $percent" }
    }

    /** Counts the first attempt of a request. */
    public fun countRequest() {
        add(percent.toDouble() / PERCENT)
    }

    /** Takes a token for one more attempt; false when none is left. */
    public fun tryTake(now: Timestamp): Boolean {
        if (enabled && freeTokenAt.hasPassed(now)) {
            add(1.0)
            freeTokenAt = now.deadlineAfter(FREE_TOKEN_MILLISECONDS)
        }
        // The tolerance makes ten requests at ten percent one whole token in floating point.
        if (tokens < 1.0 - TOLERANCE) return false
        tokens -= 1.0
        return true
    }

    private fun add(amount: Double) {
        tokens = (tokens + amount).coerceAtMost(MAXIMUM_TOKENS)
    }

    public companion object {
        /** Interval in milliseconds at which one token is added without any request. */
        public const val FREE_TOKEN_MILLISECONDS: Long = 10_000

        /** Tokens at the start; a target that dies early takes several requests with it. */
        public const val INITIAL_TOKENS: Double = 5.0

        /** Highest number of tokens: at 10 %, what the last 200 requests have added. */
        public const val MAXIMUM_TOKENS: Double = 20.0

        private const val PERCENT = 100
        private const val TOLERANCE = 1e-9
    }
}
