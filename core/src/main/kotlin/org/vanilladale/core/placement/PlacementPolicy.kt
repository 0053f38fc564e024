package org.vanilladale.core.placement

import arrow.core.Either
import org.vanilladale.schema.Timestamp

/** Decides on a new map, or returns the reason for keeping the current one. */
public typealias PlacementPolicy = (
    PlacementInput,
) -> Either<PlacementSkipReason, PlacementProposal>

/**
 * Input of a [PlacementPolicy].
 *
 * @property skewWeight weight from 0 (only moves count) to 1 (only skew counts) of the pool
 */
public data class PlacementInput(
    val state: PlacementState,
    val popularity: ExpertPopularity,
    val speed: RankSpeed,
    val skewWeight: Double,
    val now: Timestamp,
)

/**
 * Proposed map for a group.
 *
 * @property loads copies to load from the weight store; each counts as one moved expert
 * @property removals copies of the current map that the new one does not have
 * @property skewBefore predicted skew of the current map
 * @property skewAfter predicted skew of the proposed map
 */
public data class PlacementProposal(
    val map: ExpertMap,
    val loads: List<ExpertCopy>,
    val removals: List<ExpertCopy>,
    val skewBefore: Double,
    val skewAfter: Double,
)
