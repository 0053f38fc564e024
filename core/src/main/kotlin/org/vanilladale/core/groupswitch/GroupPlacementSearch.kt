package org.vanilladale.core.groupswitch

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.NONE
import org.vanilladale.core.placement.PlacementDraft
import org.vanilladale.core.placement.PlacementEdit
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.visitEdits

/**
 * Search for better maps of all layer sets of one group, under a limit on the copies that each rank
 * loads for all sets together.
 *
 * Each step takes load off the slowest rank of the set with the highest skew.
 *
 * @param maxCopiesPerSet number of copies that a rank can load for each set
 */
internal class GroupPlacementSearch(
    maps: List<ExpertMap>,
    demand: GroupDemand,
    private val maxCopiesPerSet: Int,
) {
    private val drafts = maps.mapIndexed { set, map -> draftOf(map, demand, set) }
    private val ranks = maps.first().rankCount
    private val options = PlacementOptions()

    /** Mean skew of all sets. */
    val meanSkew: Double get() = drafts.map { it.skew }.average()

    /** Number of copies that all ranks together load. */
    val copies: Int get() = drafts.sumOf { it.weightLoadCount }

    /** Number of copies at the rank that loads the most. */
    val copiesOfBusiestRank: Int get() = copiesByRank.max()

    /** Returns the maps found so far. */
    fun maps(): List<ExpertMap> = drafts.map { it.toMap() }

    /**
     * Continues the search with up to [copiesPerRank] copies for each rank. Returns false when it
     * found nothing more to improve.
     */
    fun improve(copiesPerRank: Int): Boolean {
        val open = drafts.filterTo(ArrayList()) { it.skew > MAX_SKEW }
        var isImproved = false
        while (open.isNotEmpty()) {
            val draft = open.maxBy { it.skew }
            val edit = bestEditOrNull(draft, copiesPerRank)
            if (edit == null) {
                open -= draft
                continue
            }
            edit.apply(draft)
            countCopies()
            isImproved = true
            if (draft.skew <= MAX_SKEW) open -= draft
        }
        return isImproved
    }

    /** Returns the edit that reduces the potential of [draft] most for each copy. */
    private fun bestEditOrNull(draft: PlacementDraft, copiesPerRank: Int): PlacementEdit? {
        val from = draft.slowestRank
        val excluded = excludedCopies(draft, copiesPerRank)
        var best: PlacementEdit? = null
        var bestRate = draft.potential * MIN_RELATIVE_DECREASE
        visitEdits(draft, options, from, excluded) { expert, removesCopy, to, displaced, isSwap ->
            val decrease =
                -draft.potentialChangeOf(expert, from, removesCopy, to, displaced, isSwap)
            if (decrease <= bestRate) return@visitEdits
            val loads =
                draft.weightLoadChangeOf(expert, from, removesCopy, to, displaced, isSwap)
            val rate = if (loads <= 0) decrease * FREE_EDIT_FACTOR else decrease / loads
            if (rate > bestRate) {
                bestRate = rate
                best = PlacementEdit(expert, from, removesCopy, to, displaced, isSwap)
            }
        }
        return best
    }

    /**
     * Returns the copies, by rank and expert, that are not considered: a rank has no time left to
     * load them, or it has more than its share of the tokens already.
     */
    private fun excludedCopies(draft: PlacementDraft, copiesPerRank: Int) = Array(ranks) { rank ->
        val isFull =
            copiesByRank[rank] >= copiesPerRank || draft.weightLoadsAt(rank) >= maxCopiesPerSet
        if (isFull || draft.timeOf(rank) >= MAX_RECEIVER_TIME) allExperts else noExperts
    }

    private val copiesByRank = IntArray(ranks)
    private val allExperts = BooleanArray(drafts.maxOf { it.expertCount }) { true }
    private val noExperts = BooleanArray(allExperts.size)

    private fun countCopies() {
        for (rank in copiesByRank.indices) {
            copiesByRank[rank] = drafts.sumOf { it.weightLoadsAt(rank) }
        }
    }

    private fun draftOf(map: ExpertMap, demand: GroupDemand, set: Int): PlacementDraft {
        val tokens = demand.tokens[set]
        val total = tokens.sum()
        val shares = DoubleArray(tokens.size) {
            if (total > 0) tokens[it] / total else 1.0 / tokens.size
        }
        return PlacementDraft(map, shares, demand.speed)
    }

    private companion object {
        /** Skew up to which a set is left as it is. Sampled demand is not more accurate. */
        const val MAX_SKEW = 1.12

        /** Time of a rank, relative to balanced tokens, from which it receives no more copies. */
        const val MAX_RECEIVER_TIME = 1.05

        /** Smallest decrease of the potential, relative to it, that is worth loading a copy. */
        const val MIN_RELATIVE_DECREASE = 0.02

        /** Makes edits that load no copy come first. */
        const val FREE_EDIT_FACTOR = 1e3
    }
}
