package org.vanilladale.core.retry

import org.vanilladale.schema.Timestamp

/**
 * The share of one entry in a retry budget that all entries use together. Not thread-safe: callers
 * hold a lock.
 *
 * In each window of [windowMilliseconds] all entries together may retry the fraction [ratio] of
 * their requests plus [slack] requests. To stay within the budget without coordination, an entry
 * uses that fraction of its own requests and an equal part of the slack, less a margin for entries
 * that restart or that it does not know of.
 */
public class WindowedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMilliseconds: Long,
) {
    private class Bucket(val number: Long) {
        var requests = 0
        var retries = 0
    }

    private val bucketMilliseconds = windowMilliseconds / BUCKETS
    private val buckets = ArrayDeque<Bucket>()

    init {
        require(bucketMilliseconds > 0) {
            "The window must be at least $BUCKETS ms; found $windowMilliseconds"
        }
    }

    /** Counts the first attempt of a request. */
    public fun countRequest(now: Timestamp) {
        current(now).requests++
    }

    /**
     * Takes one retry from the share of this entry and returns true, or returns false if the share
     * is used up.
     *
     * @param entries number of entries that share the budget
     */
    public fun tryTake(entries: Int, now: Timestamp): Boolean {
        if (!mayTake(entries, now)) return false
        current(now).retries++
        return true
    }

    /** Returns whether [tryTake] would take a retry at [now]. */
    public fun mayTake(entries: Int, now: Timestamp): Boolean {
        current(now)
        val requests = buckets.sumOf { it.requests }
        val retries = buckets.sumOf { it.retries }
        val allowed = SPENDABLE_SHARE * (ratio * requests + slack / entries.coerceAtLeast(1))
        return retries + 1 <= allowed
    }

    private fun current(now: Timestamp): Bucket {
        val number = now.epochMilliseconds / bucketMilliseconds
        // One bucket more than the window is kept, so that the limit applies to every window,
        // whatever its start time.
        while (buckets.isNotEmpty() && buckets.first().number < number - BUCKETS) {
            buckets.removeFirst()
        }
        return buckets.lastOrNull()?.takeIf { it.number >= number }
            ?: Bucket(number).also { buckets += it }
    }

    private companion object {
        const val BUCKETS = 40

        /**
         * Fraction of the budget that is used. The rest covers restarted entries, which lose their
         * count of retries.
         */
        const val SPENDABLE_SHARE = 0.8
    }
}
