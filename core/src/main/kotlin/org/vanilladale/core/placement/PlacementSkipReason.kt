package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline

/** Why the current map stays in use. */
public sealed interface PlacementSkipReason {
    /** What was found and what would change the decision. */
    public val message: String

    /** No popularity report has arrived. */
    public data object NoReports : PlacementSkipReason {
        override val message: String
            get() = "no popularity report yet; check the load reports of the group"
    }

    /** The predicted skew is within the tolerance. */
    public data class Balanced(val skew: Double) : PlacementSkipReason {
        override val message: String
            get() = "predicted skew $skew is within the tolerance; nothing to do"
    }

    /** No change gains enough for its cost. */
    public data class GainBelowHysteresis(val gain: Double, val hysteresis: Double) :
        PlacementSkipReason {
        override val message: String
            get() = "gain $gain is under $hysteresis; raise the pool's skewWeight to move sooner"
    }

    /** All moves of the period are spent. */
    public data class BudgetExhausted(val retryAt: Deadline?) : PlacementSkipReason {
        override val message: String
            get() = "the move budget is used until $retryAt; raise its limit to move more"
    }

    /** The last change is too recent. */
    public data class CoolingDown(val retryAt: Deadline) : PlacementSkipReason {
        override val message: String
            get() = "the last change is recent; the next one may start at $retryAt"
    }
}
