package org.vanilladale.core.placement

/** Part of the potential, whose eighth powers are large with slow ranks and round off the rest. */
private const val LEAST_DROP_SHARE = 1e-9

/**
 * Search for the edits of one step of a decision.
 *
 * @param barred copies that may not be added, by rank and expert
 * @param limit copies that the draft may load in all
 */
internal class EditSearch(
    private val draft: PlacementDraft,
    private val options: PlacementOptions,
    private val barred: Array<BooleanArray>,
    private val limit: Int,
) {
    private class Candidate(val edit: PlacementEdit, val rate: Double)

    private class Start(val edit: PlacementEdit, val rise: Double)

    /**
     * Returns the edits that lower the potential most for their loads, or none.
     *
     * With few copies a rank, any single edit of the slowest rank may only move the overload to
     * another rank. Then the edits that raise the potential least are each tried together with the
     * best edit of the rank that is slowest after them.
     */
    fun bestEdits(): List<PlacementEdit> {
        val potential = draft.potential
        val loads = draft.loadCount
        val leastDrop = potential * LEAST_DROP_SHARE
        val single = bestEditOrNull(potential, loads, leastDrop)
        if (single != null) return listOf(single.edit)
        if (draft.skew <= options.chainSkew) return emptyList()
        var best = emptyList<PlacementEdit>()
        var bestRate = leastDrop
        for (first in leastRises(options.chainStarts)) {
            first.apply(draft)
            bestEditOrNull(potential, loads, bestRate)?.let {
                best = listOf(first, it.edit)
                bestRate = it.rate
            }
            first.undo(draft)
        }
        return best
    }

    /** Returns the edit with the highest drop a load under [potential], above [leastRate]. */
    private fun bestEditOrNull(potential: Double, loads: Int, leastRate: Double): Candidate? {
        var bestRate = leastRate
        var best: PlacementEdit? = null
        val dropSoFar = potential - draft.potential
        val loadsSoFar = draft.loadCount - loads
        forEachEdit { expert, from, leaves, to, other, returns, added, rise ->
            val rate = (dropSoFar - rise) / (loadsSoFar + added).coerceAtLeast(1)
            if (rate > bestRate) {
                bestRate = rate
                best = PlacementEdit(expert, from, leaves, to, other, returns)
            }
        }
        return best?.let { Candidate(it, bestRate) }
    }

    private fun leastRises(count: Int): List<PlacementEdit> {
        if (count == 0) return emptyList()
        val least = ArrayList<Start>(count + 1)
        forEachEdit { expert, from, leaves, to, other, returns, _, rise ->
            if (least.size < count || rise < least.last().rise) {
                val edit = PlacementEdit(expert, from, leaves, to, other, returns)
                val index = least.indexOfFirst { rise < it.rise }
                least.add(if (index < 0) least.size else index, Start(edit, rise))
                if (least.size > count) least.removeAt(count)
            }
        }
        return least.map { it.edit }
    }

    private inline fun forEachEdit(
        crossinline visit: (
            expert: Int,
            from: Int,
            leaves: Boolean,
            to: Int,
            other: Int,
            returns: Boolean,
            added: Int,
            rise: Double,
        ) -> Unit,
    ) {
        val from = draft.slowestRank
        visitEdits(draft, options, from, barred) { expert, leaves, to, other, returns ->
            val added = draft.loadsOf(expert, from, leaves, to, other, returns)
            if (draft.loadCount + added <= limit) {
                val rise = draft.potentialChangeOf(expert, from, leaves, to, other, returns)
                visit(expert, from, leaves, to, other, returns, added, rise)
            }
        }
    }
}
