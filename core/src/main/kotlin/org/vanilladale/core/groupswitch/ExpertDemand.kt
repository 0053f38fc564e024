package org.vanilladale.core.groupswitch

import kotlin.math.abs

/**
 * Share of each expert in the expert choices of a pool's requests, for each set of layers.
 *
 * Individual requests differ, so new counts are averaged with the earlier ones. After a sudden
 * shift of the demand the earlier counts mislead: a map planned from the average has to be
 * corrected by a second switch. New counts therefore replace the earlier ones if they differ by
 * more than individual requests do.
 *
 * @param sets number of layer sets, each of which has a map of its own
 * @param experts number of experts in each set
 */
public class ExpertDemand(private val sets: Int, private val experts: Int) {
    /** Share of each expert by set, or null before the first usable counts. */
    public var shares: List<List<Double>>? = null
        private set

    /**
     * Updates the shares with the [counts] of choices in all sets.
     *
     * Returns the fraction of the choices that moved to other experts, 1 for the first counts, or
     * null if there are too few choices or the number of sets differs.
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
        /** Minimum number of choices in a set for reliable shares. */
        public const val MIN_CHOICES: Long = 2_000

        /**
         * Minimum fraction of the choices that moves to other experts in a shift. Differences
         * between individual prompts move a smaller fraction.
         */
        public const val MIN_SHIFT: Double = 0.25

        /** Weight of the earlier counts, which smooths out individual requests. */
        private const val EARLIER_WEIGHT = 0.5
    }
}
