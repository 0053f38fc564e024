package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Rank

/**
 * Immutable set of the copies of one expert.
 *
 * @property ranks ranks that hold a copy, in ascending order
 * @property weights relative share of the expert's tokens for each copy, in the order of [ranks];
 * empty if the tokens are split evenly
 */
public class CopySet private constructor(
    public val ranks: List<Rank>,
    public val weights: List<Int>,
) {
    /** Returns the share of the expert's tokens that the copy on [rank] gets, from 0 to 1. */
    public fun shareOf(rank: Rank): Double {
        val index = ranks.indexOf(rank)
        return when {
            index < 0 -> 0.0
            weights.isEmpty() -> 1.0 / ranks.size
            else -> weights[index].toDouble() / weights.sum()
        }
    }

    override fun equals(other: Any?): Boolean =
        other is CopySet && ranks == other.ranks && weights == other.weights

    override fun hashCode(): Int = 31 * ranks.hashCode() + weights.hashCode()

    override fun toString(): String = "$ranks by $weights"

    public companion object {
        /** Returns copies on [ranks] that share the tokens evenly. */
        public fun evenly(ranks: List<Rank>): CopySet = fromRanks(ranks, emptyList())

        /**
         * Returns copies on [ranks] with [weights] in the same order.
         *
         * @throws IllegalArgumentException if [fromRanksOrNull] returns null
         */
        public fun fromRanks(ranks: List<Rank>, weights: List<Int>): CopySet =
            requireNotNull(fromRanksOrNull(ranks, weights)) {
                "an expert needs distinct ranks and a positive weight for each; found $ranks " +
                    "and $weights"
            }

        /**
         * Returns copies on [ranks] with [weights] in the same order, or null if there are no
         * ranks, a rank occurs twice, or the weights are neither empty nor one positive number for
         * each rank.
         */
        public fun fromRanksOrNull(ranks: List<Rank>, weights: List<Int>): CopySet? {
            val distinct = ranks.isNotEmpty() && ranks.toSet().size == ranks.size
            val weighted = weights.isEmpty() || weights.size == ranks.size && weights.all { it > 0 }
            if (!distinct || !weighted) return null
            // Equal weights are stored as an empty list, so that equal splits have equal digests.
            if (weights.toSet().size <= 1) return CopySet(ranks.sorted(), emptyList())
            val sorted = ranks.zip(weights).sortedBy { it.first }
            return CopySet(sorted.map { it.first }, sorted.map { it.second })
        }
    }
}
