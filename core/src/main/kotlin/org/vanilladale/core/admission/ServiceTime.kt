package org.vanilladale.core.admission

/** Smoothed service time of the requests of one target. Keep it under a lock. */
public class ServiceTime(private val newSampleWeight: Double = DEFAULT_NEW_SAMPLE_WEIGHT) {
    private var smoothed = 0.0

    /** Smoothed service time in microseconds; 0 before the first sample. */
    public val microseconds: Long get() = smoothed.toLong()

    /** Takes the service time of one completed request, without its wait. */
    public fun completed(microseconds: Long) {
        smoothed = if (smoothed == 0.0) {
            microseconds.toDouble()
        } else {
            smoothed + newSampleWeight * (microseconds - smoothed)
        }
    }

    private companion object {
        const val DEFAULT_NEW_SAMPLE_WEIGHT = 0.1
    }
}
