package org.vanilladale.core.routing

import org.vanilladale.schema.Timestamp

/**
 * Age of reports from a process whose clock differs from the own one.
 *
 * The least difference between receipt and report in the last one to two windows is the clock
 * offset plus the least delay; what a report exceeds it by is its age. An old least difference is
 * forgotten, so that a step of the other clock makes reports look old for two windows at most.
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
