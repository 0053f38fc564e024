package org.vanilladale.core.routing

import org.vanilladale.schema.Timestamp

/**
 * Estimates the age of reports from a process whose clock differs from the local one.
 *
 * The smallest difference between the receive time and the report time in the last one to two
 * windows is the clock offset plus the smallest delay. The age of a report is the amount by which
 * its difference exceeds that minimum. Old minimums expire, so that a step of the remote clock
 * makes reports look old for at most two windows.
 */
internal class ReportAgeEstimator {
    private var current = Long.MAX_VALUE
    private var previous = Long.MAX_VALUE
    private var windowEnd = Long.MIN_VALUE

    fun observe(reportedAt: Timestamp, receivedAt: Timestamp) {
        if (receivedAt.epochMilliseconds >= windowEnd) {
            previous = current
            current = Long.MAX_VALUE
            windowEnd = receivedAt.epochMilliseconds + WINDOW_MILLISECONDS
        }
        current = minOf(current, receivedAt.millisecondsSince(reportedAt))
    }

    fun ageOf(reportedAt: Timestamp, now: Timestamp): Long {
        val leastDifference = minOf(current, previous)
        if (leastDifference == Long.MAX_VALUE) return 0
        return (now.millisecondsSince(reportedAt) - leastDifference).coerceAtLeast(0)
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 30_000L
    }
}
