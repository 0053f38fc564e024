package org.vanilladale.core.placement

/**
 * Parameters of [PlacementPlanner].
 *
 * @property tolerance excess of the predicted skew over 1 up to which no change is made
 * @property hysteresis minimum decrease of the predicted skew that justifies a change
 * @property skewPerMove amount of skew that costs as much as one moved expert when skew and moves
 * have the same weight
 * @property maxMovesPerProposal maximum number of experts moved by one change
 * @property coolDownMilliseconds minimum time between two changes
 * @property budgetPeriodMilliseconds period of the move budget, and the time for which a removed
 * copy may not be added again
 * @property pairCandidates number of edits that are each combined with a second one when no single
 * edit lowers the predicted times; 0 turns the search of pairs off
 * @property minPairSkew predicted skew up to which no pairs are searched. The search of pairs costs
 * several times that of single edits, which isn't worthwhile at each plan for a small skew.
 * @property urgentSkew predicted skew from which a change ignores the cool-down, and from which a
 * report that predicts it replaces the smoothed popularity. Infinity turns off both.
 * @property maxUrgentMoves maximum number of experts moved by a change at or above [urgentSkew]
 * @property allowSwaps whether two copies may be exchanged between ranks
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
    /** Returns an unspent move budget for a layer with [expertCount] experts. */
    public fun budgetFor(expertCount: Int): MoveBudget = MoveBudget.of(expertCount)
}
