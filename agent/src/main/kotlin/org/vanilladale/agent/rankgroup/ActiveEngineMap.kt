package org.vanilladale.agent.rankgroup

import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.schema.Digest

/**
 * Active map of an engine with what a plan needs beside it.
 *
 * @property layers layers of the model; the experts of the map are numbered through over them
 * @property slots copies of one layer that fit on a rank
 */
internal class ActiveEngineMap(
    val digest: Digest,
    val map: GroupMap,
    val layers: Int,
    val slots: Int,
)
