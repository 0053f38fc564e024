package org.vanilladale.core.placement

/**
 * Smallest decrease of the potential that counts, relative to the potential. The eighth powers of
 * slow ranks dominate the sum, so smaller differences are lost to rounding.
 */
private const val MIN_RELATIVE_DECREASE = 1e-9

/**
 * Searches for the edits of one step of a plan.
 *
 * @param excluded copies that may not be added, by rank and expert
 * @param maxWeightLoads maximum number of copies that the draft may add to the original map
 */
internal class EditSearch(
    private val draft: PlacementDraft,
    private val options: PlacementOptions,
    private val excluded: Array<BooleanArray>,
    private val maxWeightLoads: Int,
) {
    private class Candidate(val edit: PlacementEdit, val rate: Double)

    private class ScoredEdit(val edit: PlacementEdit, val change: Double)

    /**
     * Returns the edits with the largest decrease of the potential per weight load, or an empty
     * list when no edit decreases it.
     *
     * When the ranks hold few copies, each single edit of the slowest rank may merely move the
     * overload to another rank. In that case the edits with the smallest increase of the potential
     * are combined, one at a time, with the best edit of the rank that is slowest after them.
     */
    fun bestEdits(): List<PlacementEdit> {
        val potential = draft.potential
        val weightLoads = draft.weightLoadCount
        val minDecrease = potential * MIN_RELATIVE_DECREASE
        val single = bestEditOrNull(potential, weightLoads, minDecrease)
        if (single != null) return listOf(single.edit)
        if (draft.skew <= options.minPairSkew) return emptyList()
        var best = emptyList<PlacementEdit>()
        var bestRate = minDecrease
        for (first in smallestIncreases(options.pairCandidates)) {
            first.apply(draft)
            bestEditOrNull(potential, weightLoads, bestRate)?.let {
                best = listOf(first, it.edit)
                bestRate = it.rate
            }
            first.undo(draft)
        }
        return best
    }

    /**
     * Returns the edit with the largest decrease of the potential per weight load, or null if none
     * exceeds [minRate]. Both are counted from [potential] and [weightLoads], so they include an
     * edit that has been applied to the draft since.
     */
    private fun bestEditOrNull(potential: Double, weightLoads: Int, minRate: Double): Candidate? {
        var bestRate = minRate
        var best: PlacementEdit? = null
        val decreaseSoFar = potential - draft.potential
        val weightLoadsSoFar = draft.weightLoadCount - weightLoads
        forEachEdit { expert, from, removesCopy, to, displaced, isSwap, added, change ->
            val rate = (decreaseSoFar - change) / (weightLoadsSoFar + added).coerceAtLeast(1)
            if (rate > bestRate) {
                bestRate = rate
                best = PlacementEdit(expert, from, removesCopy, to, displaced, isSwap)
            }
        }
        return best?.let { Candidate(it, bestRate) }
    }

    /** Returns the [count] edits that increase the potential least, in ascending order. */
    private fun smallestIncreases(count: Int): List<PlacementEdit> {
        if (count == 0) return emptyList()
        val smallest = ArrayList<ScoredEdit>(count + 1)
        forEachEdit { expert, from, removesCopy, to, displaced, isSwap, _, change ->
            if (smallest.size < count || change < smallest.last().change) {
                val edit = PlacementEdit(expert, from, removesCopy, to, displaced, isSwap)
                val index = smallest.indexOfFirst { change < it.change }
                smallest.add(if (index < 0) smallest.size else index, ScoredEdit(edit, change))
                if (smallest.size > count) smallest.removeAt(count)
            }
        }
        return smallest.map { it.edit }
    }

    private inline fun forEachEdit(
        crossinline visit: (
            expert: Int,
            from: Int,
            removesCopy: Boolean,
            to: Int,
            displaced: Int,
            isSwap: Boolean,
            added: Int,
            change: Double,
        ) -> Unit,
    ) {
        val from = draft.slowestRank
        visitEdits(draft, options, from, excluded) { expert, removesCopy, to, displaced, isSwap ->
            val added = draft.weightLoadChangeOf(expert, from, removesCopy, to, displaced, isSwap)
            if (draft.weightLoadCount + added <= maxWeightLoads) {
                val change = draft.potentialChangeOf(
                    expert,
                    from,
                    removesCopy,
                    to,
                    displaced,
                    isSwap,
                )
                visit(expert, from, removesCopy, to, displaced, isSwap, added, change)
            }
        }
    }
}
