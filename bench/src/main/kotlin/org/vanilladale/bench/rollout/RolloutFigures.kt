package org.vanilladale.bench.rollout

import kotlinx.serialization.Serializable

/**
 * Figures of one run.
 *
 * @property seconds time from the change until all reachable targets are done; -1 when they were
 *   not within the time limit
 * @property mostAway largest number of targets away for loading at a time
 * @property mostReads largest number of reads of the weight store at a time
 * @property refusedReads reads that the weight store's limit refused
 * @property worstMinute smallest share of the targets that served in a window of 60 s
 */
@Serializable
internal data class RolloutFigures(
    val seconds: Double,
    val mostAway: Int,
    val mostReads: Int,
    val refusedReads: Int,
    val worstMinute: Double,
)

/** Figures with what was run. */
@Serializable
internal data class RolloutResult(
    val targets: Int,
    val condition: String,
    val variant: String,
    val seed: Long,
    val figures: RolloutFigures,
)
