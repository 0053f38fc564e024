package org.vanilladale.core.rollout

import org.vanilladale.schema.Adapter
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion

/**
 * The model and adapters that an engine reports as loaded.
 *
 * @property version the version of [model], or null if the engine can't serve requests
 * @property loading true while the engine loads a model or adapter, even if another process
 *   requested it
 */
public data class EngineModels(
    val model: ModelName? = null,
    val version: ModelVersion? = null,
    val adapters: List<Adapter> = emptyList(),
    val loading: Boolean = false,
)
