package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline

/** Reason why a [PlacementPolicy] keeps the current map. */
public sealed interface PlacementSkipReason {
    /** Describes what was found and what would change the decision. */
    public val message: String

    /** No popularity report has been received. */
    public data object NoReports : PlacementSkipReason {
        override val message: String
            get() = "no popularity report yet; check the load reports of the group"
    }

    /** The predicted skew is within the tolerance. */
    public data class Balanced(val skew: Double) : PlacementSkipReason {
        override val message: String
            get() = "predicted skew $skew is within the tolerance; no change is needed"
    }

    /** No change lowers the predicted skew enough to justify its moves. */
    public data class GainBelowHysteresis(val gain: Double, val hysteresis: Double) :
        PlacementSkipReason {
        override val message: String
            get() = "gain $gain is below $hysteresis; raise the pool's skewWeight to move sooner"
    }

    /** All moves of the current period are spent. */
    public data class BudgetExhausted(val retryAt: Deadline?) : PlacementSkipReason {
        override val message: String
            get() = "the move budget is spent until $retryAt; raise its limit to move more"
    }

    /** The cool-down of the last change has not ended. */
    public data class CoolingDown(val retryAt: Deadline) : PlacementSkipReason {
        override val message: String
            get() = "the cool-down of the last change ends at $retryAt; wait until then"
    }
}
