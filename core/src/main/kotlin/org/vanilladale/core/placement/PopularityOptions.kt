package org.vanilladale.core.placement

/**
 * Exponential smoothing of expert popularity.
 *
 * @property timeConstantMilliseconds time constant of the smoothing: long enough to average out
 * noise and short enough to follow drift and sudden shifts
 */
public data class PopularityOptions(val timeConstantMilliseconds: Long = 30_000)
