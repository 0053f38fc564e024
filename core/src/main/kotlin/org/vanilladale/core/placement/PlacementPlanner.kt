package org.vanilladale.core.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.schema.Timestamp

/**
 * Stateless planner that improves the current map by local search.
 *
 * Each step applies the edits of the slowest rank with the largest improvement of the predicted
 * times per weight load. The intermediate map with the lowest cost is proposed if it lowers the
 * skew enough.
 */
public class PlacementPlanner(private val options: PlacementOptions = PlacementOptions()) {
    private class Stage(val map: ExpertMap, val skew: Double)

    /** Returns a better map or the reason for keeping the current one, as a [PlacementPolicy]. */
    public fun plan(input: PlacementInput): Either<PlacementSkipReason, PlacementProposal> {
        val state = input.state
        if (!input.popularity.isObserved) return PlacementSkipReason.NoReports.left()
        val draft = draftOf(input)
        val oldSkew = draft.skew
        val urgent = oldSkew >= options.urgentSkew
        val coolDown = state.coolDownUntil
        if (!urgent && coolDown != null && !coolDown.hasPassed(input.now)) {
            return PlacementSkipReason.CoolingDown(coolDown).left()
        }
        if (oldSkew <= 1 + options.tolerance) return PlacementSkipReason.Balanced(oldSkew).left()
        val remainingMoves = state.budget.remaining(input.now)
        if (remainingMoves == 0) {
            return PlacementSkipReason.BudgetExhausted(
                state.budget.nextReturnOrNull(input.now),
            ).left()
        }
        val best = bestStage(input, draft, minOf(remainingMoves, maxMoves(urgent)))
        val gain = oldSkew - (best?.skew ?: oldSkew)
        if (best == null || gain < options.hysteresis) {
            return PlacementSkipReason.GainBelowHysteresis(gain, options.hysteresis).left()
        }
        return PlacementProposal(
            best.map,
            best.map.copiesMissingIn(state.map),
            state.map.copiesMissingIn(best.map),
            oldSkew,
            best.skew,
        ).right()
    }

    /**
     * Returns the [popularity] after a report of the [tokens] of each expert, counted up to [at].
     *
     * If the report alone predicts an urgent skew for [map], the smoothed shares are out of date
     * and are replaced by the report.
     */
    public fun observe(
        popularity: ExpertPopularity,
        tokens: List<Double>,
        at: Timestamp,
        map: ExpertMap,
        speed: RankSpeed,
    ): ExpertPopularity {
        val fresh = popularity.observe(tokens, at, restart = true)
        if (fresh === popularity) return popularity
        val skew = PlacementDraft(map, fresh.shares().toDoubleArray(), speed).skew
        return if (skew >= options.urgentSkew) fresh else popularity.observe(tokens, at)
    }

    private fun maxMoves(urgent: Boolean): Int =
        if (urgent) options.maxUrgentMoves else options.maxMovesPerProposal

    private fun bestStage(input: PlacementInput, draft: PlacementDraft, maxLoads: Int): Stage? {
        val cost = PlacementCost(input.skewWeight, options.skewPerMove)
        val search = EditSearch(draft, options, excludedByRank(input), maxLoads)
        val edits = mutableListOf<PlacementEdit>()
        var bestCount = 0
        var bestSkew = draft.skew
        var bestCost = cost.of(draft.skew, 0)
        val maxEdits = MAX_EDITS_PER_EXPERT * input.state.map.expertCount
        while (draft.skew > 1 + options.tolerance && edits.size < maxEdits) {
            val found = search.bestEdits()
            if (found.isEmpty()) break
            found.forEach { it.apply(draft) }
            edits += found
            val newCost = cost.of(draft.skew, draft.weightLoadCount)
            if (newCost < bestCost) {
                bestCost = newCost
                bestCount = edits.size
                bestSkew = draft.skew
            }
        }
        if (bestCount == 0) return null
        val stage = draftOf(input)
        edits.take(bestCount).forEach { it.apply(stage) }
        return Stage(stage.toMap(), bestSkew)
    }

    private fun draftOf(input: PlacementInput) =
        PlacementDraft(input.state.map, input.popularity.shares().toDoubleArray(), input.speed)

    private fun excludedByRank(input: PlacementInput): Array<BooleanArray> {
        val map = input.state.map
        val excluded = Array(map.rankCount) { BooleanArray(map.expertCount) }
        input.state.excludedCopies.filterValues { !it.hasPassed(input.now) }.keys.forEach {
            excluded[it.rank.value][it.expert.value] = true
        }
        return excluded
    }

    private companion object {
        /** Ends a search that would otherwise continue for a long time with ever smaller gains. */
        const val MAX_EDITS_PER_EXPERT = 2
    }
}
