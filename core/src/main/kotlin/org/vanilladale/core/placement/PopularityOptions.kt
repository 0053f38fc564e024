package org.vanilladale.core.placement

/**
 * Smoothing of expert popularity.
 *
 * @property scaleMilliseconds time scale that averages out noise and follows drift and shifts
 */
public data class PopularityOptions(val scaleMilliseconds: Long = 30_000)
