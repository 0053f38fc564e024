package org.vanilladale.core.placement

/**
 * Smoothing of expert popularity.
 *
 * @property timeConstantMilliseconds time scale that averages out noise and follows drift and shifts
 */
public data class PopularityOptions(val timeConstantMilliseconds: Long = 30_000)
