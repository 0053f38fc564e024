package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Digest
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp

/** Reason why a map switch ended without completion. */
public sealed interface MapSwitchFault {
    /** Action that the caller can take. */
    public val remedy: String

    /** [rank] refused the lease. */
    public data class LeaseRefused(
        val rank: Rank,
        val highestTerm: Term,
        val grantedFrom: Timestamp?,
    ) : MapSwitchFault {
        override val remedy: String
            get() = "Start again with a term above $highestTerm, not before $grantedFrom."
    }

    /** [ranks] did not answer in [phase] before the lease ended. */
    public data class RanksUnreachable(val phase: MapSwitchPhase, val ranks: Set<Rank>) :
        MapSwitchFault {
        override val remedy: String
            get() = "Check the agents of ranks ${ranks.joinToString()}; then start again at a " +
                "higher term, which finishes or aborts this switch."
    }

    /** The map [digest] is already active. */
    public data class AlreadyActive(val digest: Digest) : MapSwitchFault {
        override val remedy: String
            get() = "No switch is needed; choose a different map to move experts."
    }

    /** The engine of [rank] was past the switch step when it received the command to hold. */
    public data class SwitchStepPassed(val rank: Rank) : MapSwitchFault {
        override val remedy: String
            get() = "Start again at a higher term with more steps ahead."
    }
}

/**
 * Phases of a map switch, in order.
 *
 * The coordinator collects leases and states (COLLECT), finishes or aborts an earlier switch
 * (RECOVER), has the weights loaded (PREPARE), makes the engines hold at the switch step (ARM) and
 * allows them to use the new map (CONFIRM).
 */
public enum class MapSwitchPhase { COLLECT, RECOVER, PREPARE, ARM, CONFIRM, ENDED }
