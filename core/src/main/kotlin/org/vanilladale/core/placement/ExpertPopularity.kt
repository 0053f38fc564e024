package org.vanilladale.core.placement

import kotlin.math.exp
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Timestamp

/** Immutable, exponentially smoothed share of tokens of each expert. */
public class ExpertPopularity private constructor(
    private val smoothed: DoubleArray,
    private val observedAt: Timestamp?,
    private val options: PopularityOptions,
) {
    public val expertCount: Int get() = smoothed.size

    /** True if at least one report has been observed. */
    public val isObserved: Boolean get() = observedAt != null

    /** Returns the smoothed share of [expert]. The shares of all experts sum to 1. */
    public fun shareOf(expert: ExpertId): Double = smoothed[expert.value]

    /** Returns the smoothed shares of all experts by index. */
    public fun shares(): List<Double> = smoothed.toList()

    /**
     * Returns the popularity after a report of the [tokens] of each expert, counted up to [at].
     *
     * A report that isn't newer than the last one, contains no tokens or has a different number of
     * experts is ignored.
     *
     * @param restart whether the report replaces the smoothed shares instead of being averaged in
     */
    public fun observe(
        tokens: List<Double>,
        at: Timestamp,
        restart: Boolean = false,
    ): ExpertPopularity {
        val sum = tokens.sum()
        val elapsed = observedAt?.let { at.millisecondsSince(it) }
        val valid = tokens.size == expertCount && sum > 0 && tokens.all { it >= 0 }
        if (!valid || (elapsed != null && elapsed <= 0)) return this
        val observed = DoubleArray(tokens.size) { tokens[it] / sum }
        if (elapsed == null || restart) return ExpertPopularity(observed, at, options)
        val timeConstant = options.timeConstantMilliseconds
        return ExpertPopularity(smooth(smoothed, observed, elapsed, timeConstant), at, options)
    }

    public companion object {
        /** Returns equal shares of [expertCount] experts, the popularity before any report. */
        public fun even(
            expertCount: Int,
            options: PopularityOptions = PopularityOptions(),
        ): ExpertPopularity {
            require(expertCount > 0) { "expertCount must be positive; found $expertCount" }
            val shares = DoubleArray(expertCount) { 1.0 / expertCount }
            return ExpertPopularity(shares, null, options)
        }
    }
}

private fun smooth(
    before: DoubleArray,
    observed: DoubleArray,
    elapsed: Long,
    timeConstant: Long,
): DoubleArray {
    val previousWeight = exp(-elapsed.toDouble() / timeConstant)
    return DoubleArray(before.size) {
        before[it] * previousWeight + observed[it] * (1 - previousWeight)
    }
}
