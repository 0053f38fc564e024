package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Immutable placement state of a layer of a group: its active map and the limits on the next
 * change.
 *
 * @property coolDownUntil earliest start of the next change; null before the first one
 * @property excludedCopies removed copies, each with the deadline until which it may not be added
 */
public data class PlacementState(
    val map: ExpertMap,
    val budget: MoveBudget,
    val coolDownUntil: Deadline? = null,
    val excludedCopies: Map<ExpertCopy, Deadline> = emptyMap(),
) {
    /** Returns the state after a switch of the group to [proposal] at [now]. */
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
