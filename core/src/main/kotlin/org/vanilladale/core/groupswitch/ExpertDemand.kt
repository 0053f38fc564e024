package org.vanilladale.core.groupswitch

import kotlin.math.abs

/**
 * Share of each expert in the choices of a pool's requests, by set of layers; answers sudden
 * shifts of the demand.
 *
 * Single requests differ, so counts are mixed with earlier ones. After a shift the earlier ones
 * mislead: a map planned from the mixture has to be corrected by a second switch. So counts that
 * differ by more than single requests do replace the earlier ones.
 *
 * @param sets sets of layers that share one map
 * @param experts experts of each set
 */
public class ExpertDemand(private val sets: Int, private val experts: Int) {
    /** Share of each expert by set; null before the first usable counts. */
    public var shares: List<List<Double>>? = null
        private set

    /**
     * Takes the choices [counts] of all sets; returns the part of them that moved to other
     * experts, 1 for the first ones, or null when they are too few.
     */
    public fun observeOrNull(counts: List<Long>): Double? {
        val latest = sharesOrNull(counts) ?: return null
        val previous = shares
        val moved = previous?.zip(latest, ::distance)?.average() ?: 1.0
        shares = if (previous == null || moved >= MIN_SHIFT) latest else blend(latest, previous)
        return moved
    }

    private fun blend(latest: List<List<Double>>, previous: List<List<Double>>) =
        latest.zip(previous) { new, old ->
            new.zip(old) { share, earlier -> share + EARLIER_WEIGHT * (earlier - share) }
        }

    private fun distance(one: List<Double>, other: List<Double>): Double =
        one.indices.sumOf { abs(one[it] - other[it]) } / 2

    private fun sharesOrNull(counts: List<Long>): List<List<Double>>? {
        val bySet = counts.chunked(experts)
        val totals = bySet.map { it.sum() }
        if (bySet.size != sets || totals.any { it < MIN_CHOICES }) return null
        return bySet.zip(totals) { set, total -> set.map { it.toDouble() / total } }
    }

    public companion object {
        /** Choices of a set from which its shares are certain enough. */
        public const val MIN_CHOICES: Long = 2_000

        /** Part of the choices that moves with a shift; single prompts move less. */
        public const val MIN_SHIFT: Double = 0.25

        /** Weight of earlier counts: evens out single requests. */
        private const val EARLIER_WEIGHT = 0.5
    }
}
