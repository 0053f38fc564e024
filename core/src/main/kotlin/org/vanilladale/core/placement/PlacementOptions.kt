package org.vanilladale.core.placement

/**
 * Limits of the planner.
 *
 * @property tolerance excess of the predicted skew over 1 that needs no change
 * @property hysteresis least drop of the predicted skew that justifies a change
 * @property skewPerMove skew that one moved expert weighs as much as, at equal weights
 * @property maxMovesPerProposal moved experts of one change at most
 * @property coolDownMilliseconds time between two changes
 * @property budgetPeriodMilliseconds period of the move budget; a removed copy stays away as long
 * @property pairCandidates edits tried with a second one when no single one lowers the predicted times
 * @property minPairSkew predicted skew up to which no second edit is tried: the search of pairs costs
 * several times that of single edits, and a small rest of skew isn't worth it at each plan
 * @property urgentSkew predicted skew from which on a change needs no cool-down and a report that
 * predicts it replaces the smoothed popularity; infinite for neither
 * @property maxUrgentMoves moved experts of one such change at most
 * @property allowSwaps whether two copies may change places
 * @property allowReplicas whether an expert may have several copies
 */
public data class PlacementOptions(
    val tolerance: Double = 0.02,
    val hysteresis: Double = 0.01,
    val skewPerMove: Double = 0.0005,
    val maxMovesPerProposal: Int = 16,
    val coolDownMilliseconds: Long = 120_000,
    val budgetPeriodMilliseconds: Long = 1_800_000,
    val pairCandidates: Int = 64,
    val minPairSkew: Double = 1.05,
    val urgentSkew: Double = 1.25,
    val maxUrgentMoves: Int = 64,
    val allowSwaps: Boolean = true,
    val allowReplicas: Boolean = true,
) {
    /** Returns the unused move budget of a layer with [expertCount] experts. */
    public fun budgetFor(expertCount: Int): MoveBudget = MoveBudget.of(expertCount)
}
