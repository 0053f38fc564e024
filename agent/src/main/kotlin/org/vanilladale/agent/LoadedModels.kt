package org.vanilladale.agent

import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.ModelVersion

/**
 * What a target serves, as its load reports say.
 *
 * @property loading true while it takes no requests because of a load
 */
internal data class LoadedModels(
    val loading: Boolean = false,
    val version: ModelVersion? = null,
    val adapters: List<AdapterName> = emptyList(),
)
