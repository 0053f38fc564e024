package org.vanilladale.core.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

private const val LEAST_POTENTIAL_DROP = 1e-9

/**
 * Improves the current map step by step: each step takes the edit of the slowest rank that lowers
 * the predicted times most for its loads, and the best stage reached is proposed if its gain is
 * worth its moves. Keeps no state between calls.
 */
public class PlacementPlanner(private val options: PlacementOptions = PlacementOptions()) {
    private class Stage(val map: ExpertMap, val skew: Double, val cost: Double)

    /** Decides on a new map; this is the [PlacementPolicy] of the programs. */
    public fun plan(input: PlacementInput): Either<PlacementStay, PlacementProposal> {
        val state = input.state
        if (!input.popularity.isObserved) return PlacementStay.NoReports.left()
        val coolDown = state.coolDownUntil
        if (coolDown != null && !coolDown.hasPassed(input.now)) {
            return PlacementStay.CoolingDown(coolDown).left()
        }
        val draft =
            PlacementDraft(state.map, input.popularity.shares().toDoubleArray(), input.speed)
        val skewBefore = draft.skew
        if (skewBefore <= 1 + options.tolerance) return PlacementStay.Balanced(skewBefore).left()
        val left = state.budget.left(input.now)
        if (left == 0) {
            return PlacementStay.BudgetUsed(state.budget.nextReturnOrNull(input.now)).left()
        }
        val best = bestStage(input, draft, minOf(left, options.movesPerProposal))
        val gain = skewBefore - (best?.skew ?: skewBefore)
        if (best == null || gain < options.hysteresis) {
            return PlacementStay.GainUnderHysteresis(gain, options.hysteresis).left()
        }
        return PlacementProposal(
            best.map,
            best.map.copiesMissingIn(state.map),
            state.map.copiesMissingIn(best.map),
            skewBefore,
            best.skew,
        ).right()
    }

    private fun bestStage(input: PlacementInput, draft: PlacementDraft, limit: Int): Stage? {
        val cost = PlacementCost(input.skewWeight, options.skewOfMove)
        var best: Stage? = null
        var bestCost = cost.of(draft.skew, 0)
        while (draft.skew > 1 + options.tolerance) {
            bestEditOrNull(input, draft, limit)?.apply(draft) ?: break
            draft.recompute()
            val reached = cost.of(draft.skew, draft.loadCount)
            if (reached < bestCost) {
                bestCost = reached
                best = Stage(draft.toMap(), draft.skew, reached)
            }
        }
        return best
    }

    private fun bestEditOrNull(
        input: PlacementInput,
        draft: PlacementDraft,
        limit: Int,
    ): PlacementEdit? {
        val before = draft.potential
        val loadsBefore = draft.loadCount
        var best: PlacementEdit? = null
        var bestRate = LEAST_POTENTIAL_DROP
        for (edit in editsOf(draft, options) { rank, expert -> isBarred(input, rank, expert) }) {
            edit.apply(draft)
            val loads = draft.loadCount - loadsBefore
            val rate = (before - draft.potential) / loads.coerceAtLeast(1)
            if (draft.loadCount <= limit && rate > bestRate) {
                bestRate = rate
                best = edit
            }
            edit.undo(draft)
        }
        return best
    }

    private fun isBarred(input: PlacementInput, rank: Int, expert: Int): Boolean {
        val until = input.state.barred[ExpertCopy(ExpertId(expert), Rank(rank))] ?: return false
        return !until.hasPassed(input.now)
    }
}
