package org.vanilladale.core.placement

/**
 * Limits of the planner.
 *
 * @property tolerance excess of the predicted skew over 1 that needs no change
 * @property hysteresis least drop of the predicted skew that justifies a change
 * @property skewOfMove skew that one moved expert weighs as much as, at equal weights
 * @property movesPerProposal moved experts of one change at most
 * @property coolDownMilliseconds time between two changes
 * @property periodMilliseconds period of the move budget; a removed copy stays away as long
 * @property chainStarts edits tried with a second one when no single one lowers the predicted times
 * @property chainSkew predicted skew up to which no second edit is tried: the search of pairs costs
 * several times that of single edits, and a small rest of skew isn't worth it at each plan
 * @property urgentSkew predicted skew from which on a change needs no cool-down and a report that
 * predicts it replaces the smoothed popularity; infinite for neither
 * @property urgentMoves moved experts of one such change at most
 * @property allowSwaps whether two copies may change places
 * @property allowReplicas whether an expert may have several copies
 */
public data class PlacementOptions(
    val tolerance: Double = 0.02,
    val hysteresis: Double = 0.01,
    val skewOfMove: Double = 0.0005,
    val movesPerProposal: Int = 16,
    val coolDownMilliseconds: Long = 120_000,
    val periodMilliseconds: Long = 1_800_000,
    val chainStarts: Int = 64,
    val chainSkew: Double = 1.05,
    val urgentSkew: Double = 1.25,
    val urgentMoves: Int = 64,
    val allowSwaps: Boolean = true,
    val allowReplicas: Boolean = true,
) {
    /** Returns the unused move budget of a layer with [expertCount] experts. */
    public fun budgetFor(expertCount: Int): MoveBudget = MoveBudget.of(expertCount)
}
