package org.vanilladale.core.retry

import org.vanilladale.schema.Timestamp

/**
 * Budget for the retries or hedges of one route at one entry. Not thread-safe: callers hold a lock.
 *
 * The budget is a token bucket: each first attempt adds [percent] hundredths of a token, and each
 * retry takes one token. The number of tokens is bounded, so that only recent requests count. One
 * token is added every [FREE_TOKEN_MILLISECONDS], so that retries remain possible on a route with
 * few requests.
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

    /** Takes a token for one more attempt and returns true, or returns false if none is left. */
    public fun tryTake(now: Timestamp): Boolean {
        if (enabled && freeTokenAt.hasPassed(now)) {
            add(1.0)
            freeTokenAt = now.deadlineAfter(FREE_TOKEN_MILLISECONDS)
        }
        // Without the tolerance, ten requests at ten percent would add up to less than one token.
        if (tokens < 1.0 - TOLERANCE) return false
        tokens -= 1.0
        return true
    }

    private fun add(amount: Double) {
        tokens = (tokens + amount).coerceAtMost(MAXIMUM_TOKENS)
    }

    public companion object {
        /** Interval at which one token is added regardless of requests. */
        public const val FREE_TOKEN_MILLISECONDS: Long = 10_000

        /** Tokens at the start, because a target that crashes early fails several requests. */
        public const val INITIAL_TOKENS: Double = 5.0

        /** Maximum number of tokens. At 10 % the last 200 requests have added this number. */
        public const val MAXIMUM_TOKENS: Double = 20.0

        private const val PERCENT = 100
        private const val TOLERANCE = 1e-9
    }
}
