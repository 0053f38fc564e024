package org.vanilladale.core.placement

import arrow.core.Either
import org.vanilladale.schema.Timestamp

/** Decides from the current state and reports on a new map or gives the reason for staying. */
public typealias PlacementPolicy = (
    PlacementInput,
) -> Either<PlacementSkipReason, PlacementProposal>

/** What a [PlacementPolicy] decides from. */
public data class PlacementInput(
    val state: PlacementState,
    val popularity: ExpertPopularity,
    val speed: RankSpeed,
    val skewWeight: Double,
    val now: Timestamp,
)

/**
 * A new map to switch the group to.
 *
 * @property loads copies to load from the weight store; each counts as one moved expert
 * @property removals copies that the current map has and the new one has not
 */
public data class PlacementProposal(
    val map: ExpertMap,
    val loads: List<ExpertCopy>,
    val removals: List<ExpertCopy>,
    val skewBefore: Double,
    val skewAfter: Double,
)
