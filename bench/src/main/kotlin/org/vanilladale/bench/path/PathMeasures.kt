package org.vanilladale.bench.path

import java.util.concurrent.atomic.AtomicLong
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

/** Latencies of one way, in microseconds, for use from several threads. */
internal class PathMeasures {
    val firstLine: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)
    val whole: Histogram = ConcurrentHistogram(HIGHEST_MICROSECONDS, DIGITS)
    val failures = AtomicLong()

    fun record(firstLineMicroseconds: Long, wholeMicroseconds: Long) {
        firstLine.recordValue(firstLineMicroseconds.coerceAtMost(HIGHEST_MICROSECONDS))
        whole.recordValue(wholeMicroseconds.coerceAtMost(HIGHEST_MICROSECONDS))
    }

    private companion object {
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val DIGITS = 3
    }
}
