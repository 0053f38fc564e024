package org.vanilladale.core.groupswitch

import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Rank

/** Membership of a target in a group of [size] ranks, as stated in the list of targets. */
public data class GroupMembership(
    val group: GroupId,
    val rank: Rank,
    val size: Int,
    val epoch: Long,
    val isOpen: Boolean,
)
