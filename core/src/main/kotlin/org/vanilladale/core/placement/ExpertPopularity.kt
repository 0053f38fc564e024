package org.vanilladale.core.placement

import kotlin.math.exp
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Timestamp

/**
 * Smoothed share of tokens of each expert.
 *
 * Immutable; every observation returns a new value.
 */
public class ExpertPopularity private constructor(
    private val smoothed: DoubleArray,
    private val observedAt: Timestamp?,
    private val options: PopularityOptions,
) {
    public val expertCount: Int get() = smoothed.size

    /** True once at least one report has been observed. */
    public val isObserved: Boolean get() = observedAt != null

    /** Returns the share of [expert] to plan with; the shares of all experts sum to 1. */
    public fun shareOf(expert: ExpertId): Double = smoothed[expert.value]

    /** Returns all shares by expert index. */
    public fun shares(): List<Double> = smoothed.toList()

    /**
     * Takes in the [tokens] of each expert counted up to [at].
     *
     * Reports that are older than the last one, hold no tokens or have another number of experts
     * change nothing.
     *
     * @param restart whether the report replaces all earlier ones instead of being averaged in
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
        /** Returns equal shares of [expertCount] experts before any report. */
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
        before[it] * previousWeight +
            observed[it] * (1 - previousWeight)
    }
}
