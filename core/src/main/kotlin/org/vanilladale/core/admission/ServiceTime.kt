package org.vanilladale.core.admission

/**
 * Exponentially smoothed service time of the requests of one target. Not thread-safe; callers
 * synchronize access.
 *
 * The first samples have equal weights. The first request of a process that has just started takes
 * many times longer than those after it, and with a fixed weight it would dominate the estimate for
 * many requests.
 */
public class ServiceTime(private val newSampleWeight: Double = DEFAULT_NEW_SAMPLE_WEIGHT) {
    private var smoothed = 0.0
    private var samples = 0

    /** Smoothed service time in microseconds; 0 before the first sample. */
    public val microseconds: Long get() = smoothed.toLong()

    /** Records the service time of a completed request, without its wait. */
    public fun record(microseconds: Long) {
        val weight = maxOf(newSampleWeight, 1.0 / (samples + 1))
        if (weight > newSampleWeight) samples++
        smoothed += weight * (microseconds - smoothed)
    }

    private companion object {
        const val DEFAULT_NEW_SAMPLE_WEIGHT = 0.1
    }
}
