package org.vanilladale.core.placement

/**
 * Smoothing of rank speeds.
 *
 * @property timeConstantMilliseconds time scale of the smoothing
 * @property deadBand difference from 1 within which a speed counts as 1
 */
public data class RankSpeedOptions(
    val timeConstantMilliseconds: Long = 60_000,
    val deadBand: Double = 0.08,
)
