package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Placement state of a group and layer: the map in use and what limits the next change. Immutable.
 *
 * @property coolDownUntil when the next change may start; null before the first one
 * @property excludedCopies removed copies and the deadline until which they may not come back
 */
public data class PlacementState(
    val map: ExpertMap,
    val budget: MoveBudget,
    val coolDownUntil: Deadline? = null,
    val excludedCopies: Map<ExpertCopy, Deadline> = emptyMap(),
) {
    /** Returns the state after the group has switched to [proposal] at [now]. */
    public fun accept(
        proposal: PlacementProposal,
        now: Timestamp,
        options: PlacementOptions,
    ): PlacementState {
        val returnsAt = now.deadlineAfter(options.budgetPeriodMilliseconds)
        val kept = excludedCopies.filterValues { !it.hasPassed(now) }
        return PlacementState(
            proposal.map,
            budget.spend(proposal.loads.size, now, returnsAt),
            now.deadlineAfter(options.coolDownMilliseconds),
            kept + proposal.removals.associateWith { returnsAt },
        )
    }
}
