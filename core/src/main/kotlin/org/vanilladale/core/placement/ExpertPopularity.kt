package org.vanilladale.core.placement

import kotlin.math.abs
import kotlin.math.exp
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Timestamp

/**
 * Smoothed share of tokens of each expert, on two time scales.
 *
 * The slow scale follows drift and averages out noise. When the fast scale differs from it by more
 * than the shift distance, popularity has shifted suddenly and the slow scale is out of date.
 * Immutable; every observation returns a new value.
 */
public class ExpertPopularity private constructor(
    private val fast: DoubleArray,
    private val slow: DoubleArray,
    private val observedAt: Timestamp?,
    private val options: PopularityOptions,
) {
    public val expertCount: Int get() = slow.size

    /** Half of the summed differences of the shares of both scales, from 0 to 1. */
    public val shiftDistance: Double
        get() = slow.indices.sumOf { abs(fast[it] - slow[it]) } / 2

    /** True while the fast scale differs from the slow one by more than drift does. */
    public val isShifted: Boolean get() = shiftDistance > options.shiftDistance

    /** True once at least one report has been observed. */
    public val isObserved: Boolean get() = observedAt != null

    /** Returns the share of [expert] to plan with; the shares of all experts sum to 1. */
    public fun shareOf(expert: ExpertId): Double =
        if (isShifted) fast[expert.value] else slow[expert.value]

    /** Returns all shares by expert index. */
    public fun shares(): List<Double> = (if (isShifted) fast else slow).toList()

    /**
     * Takes in the [tokens] of each expert counted up to [at].
     *
     * Reports that are older than the last one, hold no tokens or have another number of experts
     * change nothing.
     */
    public fun observe(tokens: List<Double>, at: Timestamp): ExpertPopularity {
        val sum = tokens.sum()
        val elapsed = observedAt?.let { at.millisecondsSince(it) }
        val valid = tokens.size == expertCount && sum > 0 && tokens.all { it >= 0 }
        if (!valid || (elapsed != null && elapsed <= 0)) return this
        val observed = DoubleArray(tokens.size) { tokens[it] / sum }
        if (elapsed == null) return ExpertPopularity(observed, observed, at, options)
        return ExpertPopularity(
            smooth(fast, observed, elapsed, options.fastMilliseconds),
            smooth(slow, observed, elapsed, options.slowMilliseconds),
            at,
            options,
        )
    }

    public companion object {
        /** Returns equal shares of [expertCount] experts before any report. */
        public fun even(
            expertCount: Int,
            options: PopularityOptions = PopularityOptions(),
        ): ExpertPopularity {
            require(expertCount > 0) { "expertCount must be positive; found $expertCount" }
            val shares = DoubleArray(expertCount) { 1.0 / expertCount }
            return ExpertPopularity(shares, shares, null, options)
        }
    }
}

private fun smooth(
    before: DoubleArray,
    observed: DoubleArray,
    elapsed: Long,
    scale: Long,
): DoubleArray {
    val kept = exp(-elapsed.toDouble() / scale)
    return DoubleArray(before.size) { before[it] * kept + observed[it] * (1 - kept) }
}
