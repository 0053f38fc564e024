package org.vanilladale.core.gateway

/**
 * Experts of a model whose engines form groups.
 *
 * @property layerSets number of layer sets; the layers of a set share one expert map
 * @property expertsPerSet number of experts in each layer set
 * @property maxExpertsPerRank maximum number of experts of a set that one rank can hold
 * @property maxCopiesPerChange maximum number of experts of a set that one rank can load in one
 *   change of the map
 * @property copyMilliseconds time that a rank needs to load one expert of a set
 * @property expertShare share of the work for tokens that the experts do
 */
public data class ExpertProfile(
    val layerSets: Int,
    val expertsPerSet: Int,
    val maxExpertsPerRank: Int,
    val maxCopiesPerChange: Int,
    val copyMilliseconds: Double,
    val expertShare: Double,
)
