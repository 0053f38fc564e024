package org.vanilladale.core.placement

/**
 * Exponential smoothing of rank speeds.
 *
 * @property timeConstantMilliseconds time constant of the smoothing
 * @property deadBand maximum difference from 1 at which a speed still counts as 1
 */
public data class RankSpeedOptions(
    val timeConstantMilliseconds: Long = 60_000,
    val deadBand: Double = 0.08,
)
