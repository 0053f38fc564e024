package org.vanilladale.core.groupswitch

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Step

/** Order to one rank of a group. */
public sealed interface RankCommand {
    /** Loads the experts of [maps], one map for each set of layers. */
    public data class Prepare(val version: Long, val maps: List<ExpertMap>) : RankCommand

    /** Switches the rank to a prepared version as [step] begins. */
    public data class Arm(val version: Long, val step: Step) : RankCommand

    /** Takes [Arm] back. */
    public data class Disarm(val version: Long) : RankCommand

    /** Keeps the group from beginning [step] until [Go]. */
    public data class Hold(val step: Step) : RankCommand

    /** Ends a [Hold]. */
    public data class Go(val step: Step) : RankCommand
}

/** What a rank answered to an order. */
public enum class CommandAnswer {
    /** The order has begun, is done, or its state already holds. */
    ACCEPTED,

    /** The order does not fit the state of the rank, or the group was formed anew. */
    CONFLICT,

    /** No answer: the order may have been carried out, or will be. */
    UNANSWERED,

    /** The rank does not know the order. */
    REJECTED,
}
