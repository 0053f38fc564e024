package org.vanilladale.core.gateway

/**
 * Experts of a model whose engines form groups.
 *
 * @property sets sets of layers that share one map
 * @property experts experts of each set
 * @property places experts of a set that one rank can hold
 * @property copyMilliseconds time in which a rank loads one expert of a set
 * @property copiesAtOnce experts of a set that one rank can load for one change
 */
public data class ExpertProfile(
    val sets: Int,
    val experts: Int,
    val places: Int,
    val copiesAtOnce: Int,
    val copyMilliseconds: Double,
)
