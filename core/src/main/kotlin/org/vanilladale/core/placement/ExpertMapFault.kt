package org.vanilladale.core.placement

import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/** Reason why an expert map is invalid. */
public sealed interface ExpertMapFault {
    /** Describes what was found and what to change. */
    public val message: String

    /** [expert] has no copy. */
    public data class Unplaced(val expert: ExpertId) : ExpertMapFault {
        override val message: String get() = "expert $expert is on no rank; place it on a rank"
    }

    /** [expert] is placed on a rank that the group does not have. */
    public data class UnknownRank(val expert: ExpertId, val rank: Rank, val rankCount: Int) :
        ExpertMapFault {
        override val message: String
            get() = "expert $expert is on rank $rank of $rankCount; use ranks below $rankCount"
    }

    /** Two copies of [expert] are placed on the same [rank]. */
    public data class DuplicateCopy(val expert: ExpertId, val rank: Rank) : ExpertMapFault {
        override val message: String
            get() = "expert $expert is on rank $rank twice; keep one copy per rank"
    }

    /** [rank] holds more copies than it has memory slots. */
    public data class SlotsExceeded(val rank: Rank, val copies: Int, val slots: Int) :
        ExpertMapFault {
        override val message: String
            get() = "rank $rank has $copies experts in $slots slots; move some to other ranks"
    }

    /** The number of ranks or of slots per rank is not positive. */
    public data class NoSlots(val rankCount: Int, val slotsPerRank: Int) : ExpertMapFault {
        override val message: String
            get() = "found $rankCount ranks with $slotsPerRank slots; both must be positive"
    }
}
