package org.vanilladale.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.vanilladale.schema.Timestamp

private const val DIGITS = 3
private const val MEDIAN = 50.0
private const val NINETY_NINE = 99.0
private const val NINETY_NINE_NINE = 99.9
private const val SLICES = 6
private const val SLICE_MILLISECONDS = 10_000L

/** Percentiles of a series; [worstMinute] is the highest p99 of a 60-second window. */
@Serializable
public data class Percentiles(
    val p50: Double,
    val p99: Double,
    val p999: Double,
    val worstMinute: Double,
)

/**
 * Histogram of a whole series and of a 60-second window that slides in steps of 10 seconds.
 *
 * Values are recorded in time order. A window counts once all its slices are complete.
 *
 * @param highest largest value that can occur; larger values are recorded as [highest]
 * @param unit size of one histogram count, in the unit of the values
 */
public class WindowedHistogram(private val highest: Double, private val unit: Double) {
    private val highestCount = (highest / unit).toLong().coerceAtLeast(2)
    private val total = Histogram(highestCount, DIGITS)
    private val window = Histogram(highestCount, DIGITS)
    private val slices = List(SLICES) { Histogram(highestCount, DIGITS) }
    private var firstSlice = -1L
    private var currentSlice = -1L
    private var worst = 0.0

    /** Records [value], measured at [at]. */
    public fun record(at: Timestamp, value: Double) {
        val slice = at.epochMilliseconds / SLICE_MILLISECONDS
        if (currentSlice < 0) {
            firstSlice = slice
            currentSlice = slice
        }
        while (currentSlice < slice) {
            finishSlice()
            currentSlice++
            sliceOf(currentSlice).reset()
        }
        val count = (value / unit).toLong().coerceIn(0, highestCount)
        total.recordValue(count)
        sliceOf(slice).recordValue(count)
    }

    /** Returns the percentiles of everything recorded so far. */
    public fun percentiles(): Percentiles {
        finishSlice()
        return Percentiles(
            total.getValueAtPercentile(MEDIAN) * unit,
            total.getValueAtPercentile(NINETY_NINE) * unit,
            total.getValueAtPercentile(NINETY_NINE_NINE) * unit,
            if (worst == 0.0) total.getValueAtPercentile(NINETY_NINE) * unit else worst,
        )
    }

    private fun sliceOf(slice: Long): Histogram = slices[(slice % SLICES).toInt()]

    private fun finishSlice() {
        if (currentSlice - firstSlice < SLICES - 1) return
        window.reset()
        slices.forEach { window.add(it) }
        if (window.totalCount > 0) {
            worst = maxOf(worst, window.getValueAtPercentile(NINETY_NINE) * unit)
        }
    }
}
