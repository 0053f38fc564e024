package org.vanilladale.core.groupswitch

import kotlin.math.abs

/**
 * Share of each expert in the expert choices of a pool's requests, for each set of layers.
 *
 * Individual requests differ, so new counts are averaged with the earlier ones. After a sudden
 * shift of the demand the earlier counts mislead: a map planned from the average has to be
 * corrected by a second switch. New counts therefore replace the earlier ones if they differ by
 * more than individual requests do, which is learned from the reads without a shift.
 *
 * @param sets number of layer sets, each of which has a map of its own
 * @param experts number of experts in each set
 */
public class ExpertDemand(private val sets: Int, private val experts: Int) {
    /** Share of each expert by set, or null before the first usable counts. */
    public var shares: List<List<Double>>? = null
        private set

    /** Whether the latest counts replaced the earlier ones. */
    public var isShift: Boolean = false
        private set

    /** Mean fraction of the choices that moves between two reads without a shift. */
    private var usualMove = MAX_SHIFT_THRESHOLD / SHIFT_FACTOR

    /**
     * Updates the shares with the counts of choices in all sets, for each of the ranks in
     * [countsByRank].
     *
     * Each rank has the same weight. A rank that has just read a long prompt counts many more
     * choices than the others, and a single prompt prefers other experts than the mean of them.
     *
     * Returns the fraction of the choices that moved to other experts, 1 for the first counts, or
     * null if there are too few choices or the number of sets differs.
     */
    public fun observeOrNull(countsByRank: List<List<Long>>): Double? {
        val latest = meanSharesOrNull(countsByRank) ?: return null
        val previous = shares
        val moved = previous?.zip(latest, ::distance)?.average() ?: 1.0
        isShift = previous == null || moved >= minOf(MAX_SHIFT_THRESHOLD, SHIFT_FACTOR * usualMove)
        shares = if (previous == null || isShift) latest else blend(latest, previous)
        if (!isShift) usualMove += NEW_MOVE_WEIGHT * (moved - usualMove)
        return moved
    }

    private fun blend(latest: List<List<Double>>, previous: List<List<Double>>) =
        latest.zip(previous) { new, old ->
            new.zip(old) { share, earlier -> share + EARLIER_WEIGHT * (earlier - share) }
        }

    private fun distance(one: List<Double>, other: List<Double>): Double =
        one.indices.sumOf { abs(one[it] - other[it]) } / 2

    private fun meanSharesOrNull(countsByRank: List<List<Long>>): List<List<Double>>? {
        val byRank = countsByRank.map { it.chunked(experts) }.filter { it.size == sets }
        val hasEnough = byRank.isNotEmpty() &&
            (0 until sets).all { set -> byRank.sumOf { it[set].sum() } >= MIN_CHOICES }
        if (!hasEnough) return null
        return List(sets) { set ->
            val shares = byRank.map { it[set] }.filter { it.sum() > 0 }.map(::sharesOf)
            List(experts) { expert -> shares.sumOf { it[expert] } / shares.size }
        }
    }

    private fun sharesOf(counts: List<Long>): List<Double> {
        val total = counts.sum().toDouble()
        return counts.map { it / total }
    }

    public companion object {
        /** Minimum number of choices in a set for reliable shares. */
        public const val MIN_CHOICES: Long = 2_000

        /**
         * Fraction of the choices that moves to other experts in every shift. Where the demand is
         * spread over many experts a shift moves less, but more than the usual move by
         * [SHIFT_FACTOR].
         */
        public const val MAX_SHIFT_THRESHOLD: Double = 0.25

        /** Ratio of the moved fraction to the usual one from which a move counts as a shift. */
        public const val SHIFT_FACTOR: Double = 1.35

        private const val NEW_MOVE_WEIGHT = 0.3

        /** Weight of the earlier counts, which smooths out individual requests. */
        private const val EARLIER_WEIGHT = 0.5
    }
}
