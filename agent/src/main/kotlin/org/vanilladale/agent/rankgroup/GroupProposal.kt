package org.vanilladale.agent.rankgroup

import org.vanilladale.core.placement.PlacementProposal
import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.core.rankgroup.MapBase

/**
 * New map for all layers of a group.
 *
 * @property base active map that the proposal changes
 * @property layers proposal of each layer; null where the layer keeps its copies
 */
internal class GroupProposal(
    val map: GroupMap,
    val base: MapBase,
    val layers: List<PlacementProposal?>,
)
