package org.vanilladale.core.groupswitch

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Step

/** Command to one rank of a group. */
public sealed interface RankCommand {
    /** Loads the experts of [maps], which has one map for each set of layers. */
    public data class Prepare(val version: Long, val maps: List<ExpertMap>) : RankCommand

    /** Makes the rank switch to a prepared version at the beginning of [step]. */
    public data class Arm(val version: Long, val step: Step) : RankCommand

    /** Cancels [Arm]. */
    public data class Disarm(val version: Long) : RankCommand

    /** Prevents the group from beginning [step] until [Go]. */
    public data class Hold(val step: Step) : RankCommand

    /** Ends a [Hold]. */
    public data class Go(val step: Step) : RankCommand
}

/** Answer of a rank to a command. */
public enum class CommandAnswer {
    /** The command has started or is done, or the rank was already in the resulting state. */
    ACCEPTED,

    /** The command conflicts with the state of the rank, or the group was formed anew. */
    CONFLICT,

    /** No answer arrived. The rank may have carried out the command, or may do so later. */
    UNANSWERED,

    /** The rank does not know the command. */
    REJECTED,
}
