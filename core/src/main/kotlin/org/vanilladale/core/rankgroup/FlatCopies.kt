package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Rank

/**
 * Copies of several experts as plain lists, the form in which frames and engines carry them.
 *
 * @property placement ranks of the copies, expert after expert
 * @property copies copies of each expert; one each when empty
 * @property weights weight of each copy; even when empty
 */
public data class FlatCopies(
    val placement: List<Rank>,
    val copies: List<Int> = emptyList(),
    val weights: List<Int> = emptyList(),
) {
    /** Returns the copies by expert, or null when the lists don't fit each other. */
    public fun copySetsOrNull(): List<CopySet>? {
        val counts = copies.ifEmpty { List(placement.size) { 1 } }
        val fits = counts.all { it > 0 } && counts.sumOf { it.toLong() } == placement.size.toLong()
        if (!fits || weights.isNotEmpty() && weights.size != placement.size) return null
        var next = 0
        return counts.map { count ->
            val range = next until next + count
            next += count
            val ownWeights = if (weights.isEmpty()) emptyList() else weights.slice(range)
            CopySet.fromRanksOrNull(placement.slice(range), ownWeights) ?: return null
        }
    }

    public companion object {
        /** Returns the lists of [copySets]; counts and weights stay empty where all are alike. */
        public fun of(copySets: List<CopySet>): FlatCopies = FlatCopies(
            copySets.flatMap { it.ranks },
            if (copySets.all {
                    it.ranks.size == 1
                }
            ) {
                emptyList()
            } else {
                copySets.map { it.ranks.size }
            },
            if (copySets.all {
                    it.weights.isEmpty()
                }
            ) {
                emptyList()
            } else {
                copySets.flatMap { weights(it) }
            },
        )

        private fun weights(set: CopySet): List<Int> =
            set.weights.ifEmpty { List(set.ranks.size) { 1 } }
    }
}
