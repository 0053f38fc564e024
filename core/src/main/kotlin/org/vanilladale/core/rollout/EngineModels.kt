package org.vanilladale.core.rollout

import org.vanilladale.schema.Adapter
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion

/**
 * What an engine reports to have loaded.
 *
 * @property version version of [model]; null while the engine can't serve
 * @property loading true while the engine runs a load, also one that another process asked for
 */
public data class EngineModels(
    val model: ModelName? = null,
    val version: ModelVersion? = null,
    val adapters: List<Adapter> = emptyList(),
    val loading: Boolean = false,
)
