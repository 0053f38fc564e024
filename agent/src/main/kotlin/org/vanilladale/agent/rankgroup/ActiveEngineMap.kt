package org.vanilladale.agent.rankgroup

import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.schema.Digest

/**
 * Active expert map of an engine, with the sizes that are needed to plan the next map.
 *
 * @property layers number of layers of the model; [map] numbers the experts of all layers
 * consecutively
 * @property slots number of expert copies of one layer that fit on a rank
 */
internal class ActiveEngineMap(
    val digest: Digest,
    val map: GroupMap,
    val layers: Int,
    val slots: Int,
)
