package org.vanilladale.core.gateway

/**
 * Experts of a model whose engines form groups.
 *
 * @property layerSets sets of layers that share one map
 * @property expertsPerSet experts of each set
 * @property maxExpertsPerRank experts of a set that one rank can hold
 * @property copyMilliseconds time in which a rank loads one expert of a set
 * @property maxCopiesPerChange experts of a set that one rank can load for one change
 */
public data class ExpertProfile(
    val layerSets: Int,
    val expertsPerSet: Int,
    val maxExpertsPerRank: Int,
    val maxCopiesPerChange: Int,
    val copyMilliseconds: Double,
)
