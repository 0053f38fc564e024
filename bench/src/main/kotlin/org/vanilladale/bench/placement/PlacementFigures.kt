package org.vanilladale.bench.placement

import kotlinx.serialization.Serializable
import org.vanilladale.bench.Percentiles

/**
 * Figures of one run.
 *
 * @property skew time of the slowest rank over the mean of the ranks
 * @property settledRatio time of the slowest rank over the bound, in settled times
 * @property shocks highest skew in the first 20 s after each sudden shift, before any report of it
 * @property laterSkew skew from 90 s after a disturbance on, when a policy can have reacted
 * @property recoverySeconds mean time after a shift until the skew stays under 1.25 for 30 s
 * @property moves copies loaded
 * @property storeCalls calls to the weight store, one for each copy loaded
 * @property heldSteps steps for which the group waited for switches
 * @property flaps copies that came back to a rank within a period after they had left it
 */
@Serializable
public data class PlacementFigures(
    val skew: Percentiles,
    val ratio: Percentiles,
    val settledRatio: Percentiles,
    val shocks: List<Double>,
    val laterSkew: Percentiles,
    val recoverySeconds: Double,
    val moves: Int,
    val bytes: Long,
    val storeCalls: Int,
    val heldSteps: Int,
    val disruptionsPerHour: Double,
    val flaps: Int,
)

/** Figures of one variant with one seed. */
@Serializable
public data class PlacementResult(
    val size: PlacementSize,
    val skewWeight: Double,
    val variant: String,
    val seed: Long,
    val figures: PlacementFigures,
)
