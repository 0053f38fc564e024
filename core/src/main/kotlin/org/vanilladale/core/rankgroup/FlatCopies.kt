package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Rank

/**
 * Copies of several experts as plain lists, the form in which frames and engines represent them.
 *
 * @property placement ranks of all copies, ordered by expert
 * @property copies number of copies of each expert; empty if each expert has one
 * @property weights weight of each copy; empty if the tokens of each expert are split evenly
 */
public data class FlatCopies(
    val placement: List<Rank>,
    val copies: List<Int> = emptyList(),
    val weights: List<Int> = emptyList(),
) {
    /** Returns the copies by expert, or null if the lists are inconsistent. */
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
        /**
         * Returns the lists that represent [sets]. Counts are left empty if each expert has one
         * copy, and weights if all splits are even.
         */
        public fun of(sets: List<CopySet>): FlatCopies = FlatCopies(
            sets.flatMap { it.ranks },
            if (sets.all { it.ranks.size == 1 }) emptyList() else sets.map { it.ranks.size },
            if (sets.all { it.weights.isEmpty() }) emptyList() else sets.flatMap { weights(it) },
        )

        private fun weights(set: CopySet): List<Int> =
            set.weights.ifEmpty { List(set.ranks.size) { 1 } }
    }
}
