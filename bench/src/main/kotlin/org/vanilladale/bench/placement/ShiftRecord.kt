package org.vanilladale.bench.placement

import org.vanilladale.bench.Percentiles
import org.vanilladale.bench.WindowedHistogram
import org.vanilladale.schema.Timestamp

private const val HIGHEST_SKEW = 100.0
private const val SKEW_UNIT = 0.001

/** The next report interval after a shift has begun by then; the model changes loads with it. */
private const val SHOCK_SECONDS = 2 * REPORT_SECONDS
private const val REACTION_SECONDS = 90
private const val RECOVERED_SKEW = 1.25
private const val RECOVERED_SECONDS = 30

/** Skew after sudden shifts: the first shock, the time until it is over, and what comes later. */
internal class ShiftRecord(private val workload: Workload) {
    private val later = WindowedHistogram(HIGHEST_SKEW, SKEW_UNIT)
    private val highest = mutableListOf<Double>()
    private val recoveries = mutableListOf<Int>()
    private var badSince: Int? = null
    private var lastBad = 0

    /** Records the [skew] of the step in [second]. */
    fun record(second: Int, skew: Double) {
        val sinceDisturbance = workload.secondsSinceDisturbance(second)
        if (sinceDisturbance == null || sinceDisturbance >= REACTION_SECONDS) {
            later.record(Timestamp.fromEpochMilliseconds(second * MILLISECONDS), skew)
        }
        val sinceShift = workload.secondsSinceShift(second) ?: return
        if (sinceShift == 0) {
            recover(second)
            badSince = second
            lastBad = second
            highest += skew
        }
        if (sinceShift < SHOCK_SECONDS) highest[highest.lastIndex] = maxOf(highest.last(), skew)
        if (skew >= RECOVERED_SKEW) lastBad = second
        if (second - lastBad >= RECOVERED_SECONDS) recover(second)
    }

    val shocks: List<Double> get() = highest

    val laterSkew: Percentiles get() = later.percentiles()

    /** Mean time until the skew stayed low; a shift that never settled counts until the next. */
    val recoverySeconds: Double
        get() {
            recover(workload.seconds)
            return if (recoveries.isEmpty()) 0.0 else recoveries.average()
        }

    private fun recover(second: Int) {
        val start = badSince ?: return
        val recovered = second - lastBad >= RECOVERED_SECONDS
        recoveries += (if (recovered) lastBad else second) - start
        badSince = null
    }

    private companion object {
        const val MILLISECONDS = 1_000L
    }
}
