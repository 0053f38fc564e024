package org.vanilladale.core.groupswitch

import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Rank

/** Place of a target in its group of [size] ranks, as the list of targets states it. */
public data class GroupMembership(
    val group: GroupId,
    val rank: Rank,
    val size: Int,
    val epoch: Long,
    val isOpen: Boolean,
)
