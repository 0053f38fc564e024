package org.vanilladale.core.placement

/** Part of the potential, whose eighth powers are large with slow ranks and round off the rest. */
private const val MIN_RELATIVE_DECREASE = 1e-9

/**
 * Search for the edits of one step of a decision.
 *
 * @param excluded copies that may not be added, by rank and expert
 * @param maxWeightLoads copies that the draft may load in all
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
     * Returns the edits that lower the potential most for their weightLoads, or none.
     *
     * With few copies a rank, any single edit of the slowest rank may only move the overload to
     * another rank. Then the edits that raise the potential smallest are each tried together with the
     * best edit of the rank that is slowest after them.
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

    /** Returns the edit with the highest drop a load under [potential], above [minRate]. */
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
