package org.vanilladale.core.groupswitch

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.RankSpeed

/**
 * Limits of one change of a group's maps.
 *
 * @property maxCopiesPerSet expert copies that a rank can load for each set of layers
 * @property copyMilliseconds time that a rank needs to load one copy; ranks load in parallel, and
 *   each loads its copies one after another
 */
public data class ChangeLimits(val maxCopiesPerSet: Int, val copyMilliseconds: Double)

/** Demand that maps are planned for: [tokens] of each expert by set, and [speed] of the ranks. */
public data class GroupDemand(val tokens: List<List<Double>>, val speed: RankSpeed)

/**
 * New maps for all sets of a group, and the mean skew of the sets before and after the change.
 *
 * @property copies number of expert copies that all ranks together load for the change
 * @property copiesOfBusiestRank number of copies at the rank that loads the most
 */
public data class GroupProposal(
    val maps: List<ExpertMap>,
    val skewBefore: Double,
    val skewAfter: Double,
    val copies: Int,
    val copiesOfBusiestRank: Int,
)

/**
 * Plans the maps of all layer sets of a group together, after a sudden shift of the demand or when
 * a rank becomes slow.
 *
 * The duration of a pass is the sum of the times of the slowest rank in each set, so a change is
 * evaluated by the mean skew of all sets. All ranks load their copies at the same time, so a change
 * takes as long as the rank with the most copies. A change with few copies for each rank takes
 * effect soon, and a change with many copies leaves less skew. The chosen change has the lowest
 * mean skew over the next [HORIZON_MILLISECONDS]. Small copies and large groups therefore get
 * many copies in one change, and a group that loads large copies gets the most effective ones
 * first.
 */
public class GroupPlanner {
    /** Returns better maps for [demand], or null if no change is worth its cost. */
    public fun planOrNull(
        maps: List<ExpertMap>,
        demand: GroupDemand,
        limits: ChangeLimits,
    ): GroupProposal? {
        val search = GroupPlacementSearch(maps, demand, limits.maxCopiesPerSet)
        val before = search.meanSkew
        var best: GroupProposal? = null
        var lowestCost = before
        var copiesPerRank = 1
        while (isInTime(copiesPerRank, limits) && search.improve(copiesPerRank)) {
            val duration = changeMilliseconds(copiesPerRank, limits)
            val cost = meanSkewOverHorizon(before, search.meanSkew, duration)
            if (cost < lowestCost) {
                lowestCost = cost
                best = proposal(search, before)
            }
            copiesPerRank++
        }
        return best?.takeIf { before - it.skewAfter >= MIN_SKEW_REDUCTION }
    }

    private fun proposal(search: GroupPlacementSearch, before: Double) = GroupProposal(
        search.maps(),
        before,
        search.meanSkew,
        search.copies,
        search.copiesOfBusiestRank,
    )

    /** A single copy may take longer than the horizon, because nothing faster exists. */
    private fun isInTime(copiesPerRank: Int, limits: ChangeLimits) = copiesPerRank == 1 ||
        changeMilliseconds(copiesPerRank, limits) < HORIZON_MILLISECONDS

    private fun changeMilliseconds(copiesPerRank: Int, limits: ChangeLimits) =
        CHANGE_MILLISECONDS + copiesPerRank * limits.copyMilliseconds

    private fun meanSkewOverHorizon(before: Double, after: Double, effectiveAfter: Double): Double {
        val until = (effectiveAfter / HORIZON_MILLISECONDS).coerceAtMost(1.0)
        return until * before * LOADING_SLOWDOWN + (1 - until) * after
    }

    /** Returns the mean skew of all sets of [maps]: slowest rank against balanced tokens. */
    public fun meanSkew(maps: List<ExpertMap>, demand: GroupDemand): Double =
        GroupPlacementSearch(maps, demand, 0).meanSkew

    public companion object {
        /**
         * Time over which a change has to pay off. Demand that has just shifted is expected to stay
         * for a few seconds.
         */
        public const val HORIZON_MILLISECONDS: Double = 3_000.0

        /** Duration of a change beside the loading of copies: commands and the switch step. */
        private const val CHANGE_MILLISECONDS = 400.0

        /** Passes take longer by this factor while copies are loaded, as the platform states. */
        private const val LOADING_SLOWDOWN = 1.15

        /** Minimum reduction of the mean skew that is worth the commands and copies of a change. */
        private const val MIN_SKEW_REDUCTION = 0.3
    }
}
