package org.vanilladale.core.retry

import org.vanilladale.schema.Timestamp

/**
 * One entry's part of a retry budget that the whole fleet shares. Keep it under a lock.
 *
 * In each window of [windowMilliseconds] the fleet may repeat [ratio] of its requests and [slack]
 * more. Without asking the others an entry spends that ratio of its own requests and its part of
 * the slack, less a margin for entries that restart or that it does not know.
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
            "The window must have $BUCKETS ms or more; found $windowMilliseconds"
        }
    }

    /** Counts the first attempt of a request. */
    public fun countRequest(now: Timestamp) {
        current(now).requests++
    }

    /** Takes one repeat out of the part of this entry among [entries]; false when it is used up. */
    public fun tryTake(entries: Int, now: Timestamp): Boolean {
        val bucket = current(now)
        val requests = buckets.sumOf { it.requests }
        val retries = buckets.sumOf { it.retries }
        val allowed = SPENDABLE_SHARE * (ratio * requests + slack / entries.coerceAtLeast(1))
        if (retries + 1 > allowed) return false
        bucket.retries++
        return true
    }

    private fun current(now: Timestamp): Bucket {
        val number = now.epochMilliseconds / bucketMilliseconds
        // One bucket more than the window, so that no window of any start holds more repeats.
        while (buckets.isNotEmpty() && buckets.first().number < number - BUCKETS) {
            buckets.removeFirst()
        }
        return buckets.lastOrNull()?.takeIf { it.number >= number }
            ?: Bucket(number).also { buckets += it }
    }

    private companion object {
        const val BUCKETS = 40

        /** Part of the budget that is spent; restarts forget what they spent of the rest. */
        const val SPENDABLE_SHARE = 0.8
    }
}
