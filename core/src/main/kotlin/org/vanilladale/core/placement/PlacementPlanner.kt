package org.vanilladale.core.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right

private const val LEAST_POTENTIAL_DROP = 1e-9

/**
 * Improves the current map step by step: each step takes the edit of the slowest rank that lowers
 * the predicted times most for its loads, and the best stage reached is proposed if its gain is
 * worth its moves. Keeps no state between calls.
 */
public class PlacementPlanner(private val options: PlacementOptions = PlacementOptions()) {
    private class Stage(val map: ExpertMap, val skew: Double)

    /** Decides on a new map; this is the [PlacementPolicy] of the programs. */
    public fun plan(input: PlacementInput): Either<PlacementStay, PlacementProposal> {
        val state = input.state
        if (!input.popularity.isObserved) return PlacementStay.NoReports.left()
        val coolDown = state.coolDownUntil
        if (coolDown != null && !coolDown.hasPassed(input.now)) {
            return PlacementStay.CoolingDown(coolDown).left()
        }
        val draft = draftOf(input)
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
        val barred = barredCopies(input)
        val edits = mutableListOf<PlacementEdit>()
        var bestCount = 0
        var bestSkew = draft.skew
        var bestCost = cost.of(draft.skew, 0)
        while (draft.skew > 1 + options.tolerance) {
            val edit = bestEditOrNull(draft, barred, limit - draft.loadCount) ?: break
            edit.apply(draft)
            edits += edit
            val reached = cost.of(draft.skew, draft.loadCount)
            if (reached < bestCost) {
                bestCost = reached
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

    private fun bestEditOrNull(
        draft: PlacementDraft,
        barred: Array<BooleanArray>,
        loadsLeft: Int,
    ): PlacementEdit? {
        val from = draft.slowestRank
        var best: PlacementEdit? = null
        var bestRate = LEAST_POTENTIAL_DROP
        visitEdits(draft, options, from, barred) { expert, leaves, to, other, returns ->
            val loads = draft.loadsOf(expert, from, leaves, to, other, returns)
            if (loads <= loadsLeft) {
                val drop = -draft.potentialChangeOf(expert, from, leaves, to, other, returns)
                val rate = drop / loads.coerceAtLeast(1)
                if (rate > bestRate) {
                    bestRate = rate
                    best = PlacementEdit(expert, from, leaves, to, other, returns)
                }
            }
        }
        return best
    }

    private fun barredCopies(input: PlacementInput): Array<BooleanArray> {
        val map = input.state.map
        val barred = Array(map.rankCount) { BooleanArray(map.expertCount) }
        input.state.barred.filterValues { !it.hasPassed(input.now) }.keys.forEach {
            barred[it.rank.value][it.expert.value] = true
        }
        return barred
    }
}
