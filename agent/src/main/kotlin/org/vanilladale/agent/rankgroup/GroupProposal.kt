package org.vanilladale.agent.rankgroup

import org.vanilladale.core.placement.PlacementProposal
import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.core.rankgroup.MapBase

/**
 * Proposal of a new expert map for all layers of a group.
 *
 * @property base active map that [map] replaces
 * @property layers proposal for each layer; null for a layer that keeps its copies
 */
internal class GroupProposal(
    val map: GroupMap,
    val base: MapBase,
    val layers: List<PlacementProposal?>,
)
