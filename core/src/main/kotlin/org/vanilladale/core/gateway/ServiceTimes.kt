package org.vanilladale.core.gateway

import kotlin.math.abs

/**
 * Durations of the complete answers of a pool. Not thread-safe.
 *
 * The weights and the factor are those of RFC 6298, which estimates the longest usual round trip of
 * a connection in the same way.
 */
public class ServiceTimes {
    private var mean = 0.0
    private var deviation = 0.0
    private var isEmpty = true

    /** Records that a request was answered completely in [milliseconds]. */
    public fun record(milliseconds: Long) {
        if (isEmpty) {
            mean = milliseconds.toDouble()
            deviation = mean / 2
            isEmpty = false
            return
        }
        deviation += DEVIATION_WEIGHT * (abs(milliseconds - mean) - deviation)
        mean += MEAN_WEIGHT * (milliseconds - mean)
    }

    /**
     * Duration in milliseconds that few of the next answers exceed if they are like the latest ten;
     * null before the first answer. Rare long answers are not foreseen.
     */
    public val longestUsualMillisecondsOrNull: Long?
        get() = if (isEmpty) null else (mean + DEVIATIONS * deviation).toLong()

    private companion object {
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4
        const val DEVIATIONS = 4
    }
}
