package org.vanilladale.core.placement

import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/** Why an expert map is not valid. */
public sealed interface ExpertMapFault {
    /** What was found and what to change. */
    public val message: String

    /** The expert has no copy. */
    public data class Unplaced(val expert: ExpertId) : ExpertMapFault {
        override val message: String get() = "expert $expert is on no rank; place it on one"
    }

    /** The expert is placed on a rank that the group does not have. */
    public data class UnknownRank(val expert: ExpertId, val rank: Rank, val rankCount: Int) :
        ExpertMapFault {
        override val message: String
            get() = "expert $expert is on rank $rank of $rankCount; use ranks below $rankCount"
    }

    /** Two copies of an expert are on one rank. */
    public data class DuplicateCopy(val expert: ExpertId, val rank: Rank) : ExpertMapFault {
        override val message: String
            get() = "expert $expert is on rank $rank twice; keep one copy a rank"
    }

    /** A rank holds more experts than it has memory slots. */
    public data class SlotsExceeded(val rank: Rank, val copies: Int, val slots: Int) :
        ExpertMapFault {
        override val message: String
            get() = "rank $rank has $copies experts in $slots slots; move some to other ranks"
    }

    /** The size of the group is not positive. */
    public data class NoSlots(val rankCount: Int, val slotsPerRank: Int) : ExpertMapFault {
        override val message: String
            get() = "found $rankCount ranks with $slotsPerRank slots; both must be positive"
    }
}
