package org.vanilladale.core.groupswitch

import org.vanilladale.core.placement.ExpertCopy
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.ExpertPopularity
import org.vanilladale.core.placement.MoveBudget
import org.vanilladale.core.placement.PlacementInput
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementState
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/**
 * Limits of one change of a group's maps.
 *
 * @property maxCopiesPerSet expert copies that a rank can load for each set of layers
 */
public data class ChangeLimits(val maxCopiesPerSet: Int)

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
 * evaluated by the mean skew of all sets. A rank that takes several times as long as the others
 * for its work slows down all streams of its group. Its experts with the most tokens therefore
 * move in one change, for which the other ranks load more copies than after a shift.
 */
public class GroupPlanner {
    /** Limits of one change: copies in one set, and copies at one rank over all sets. */
    private class CopyLimits(val perSet: Int, val perRank: Int, chainStarts: Int) {
        val planner = PlacementPlanner(
            PlacementOptions(
                tolerance = TOLERANCE,
                hysteresis = HYSTERESIS,
                skewPerMove = SKEW_PER_COPY,
                maxMovesPerProposal = perSet,
                coolDownMilliseconds = 0,
                urgentSkew = Double.POSITIVE_INFINITY,
                pairCandidates = chainStarts,
            ),
        )
    }

    private val shiftLimits = CopyLimits(MAX_COPIES_PER_SET, MAX_COPIES_PER_RANK, CHAIN_STARTS)

    /**
     * Limits for a group with slow ranks. Pairs of edits are not searched, because much skew
     * remains with slow ranks and the search would take minutes.
     */
    private val reliefLimits = CopyLimits(MAX_RELIEF_COPIES_PER_SET, MAX_RELIEF_COPIES_PER_RANK, 0)

    /** Returns better maps for [demand], or null if no change is worth its cost. */
    public fun planOrNull(
        maps: List<ExpertMap>,
        demand: GroupDemand,
        limits: ChangeLimits,
        now: Timestamp,
    ): GroupProposal? {
        val before = meanSkew(maps, demand)
        val copyLimits = if (demand.speed.slowest <= RELIEF_MAX_SPEED) reliefLimits else shiftLimits
        // A rank loads the copies of all sets one after another, so its limit applies to their sum.
        val loads = HashMap<Rank, Int>()
        val planned = maps.indices.map { set ->
            val fullRanks = loads.filterValues { it >= copyLimits.perRank }.keys
            planSet(maps[set], demand, set, copyLimits, limits, fullRanks, now).also { map ->
                map.copiesMissingIn(maps[set]).forEach { loads.merge(it.rank, 1, Int::plus) }
            }
        }
        val after = meanSkew(planned, demand)
        if (before - after < MIN_SKEW_REDUCTION) return null
        val copies = maps.indices.flatMap { planned[it].copiesMissingIn(maps[it]) }
        val copiesOfBusiestRank = copies.groupingBy { it.rank }.eachCount().values.maxOrNull() ?: 0
        return GroupProposal(planned, before, after, copies.size, copiesOfBusiestRank)
    }

    private fun planSet(
        map: ExpertMap,
        demand: GroupDemand,
        set: Int,
        copyLimits: CopyLimits,
        limits: ChangeLimits,
        fullRanks: Set<Rank>,
        now: Timestamp,
    ): ExpertMap {
        val popularity = ExpertPopularity.even(map.expertCount).observe(demand.tokens[set], now)
        val input = PlacementInput(
            PlacementState(
                map,
                MoveBudget.of(copyLimits.perSet),
                excludedCopies = blockedCopies(map, fullRanks, now),
            ),
            popularity,
            demand.speed,
            SKEW_WEIGHT,
            now,
        )
        val proposed = copyLimits.planner.plan(input).getOrNull()?.map ?: return map
        val copies = proposed.copiesMissingIn(map)
        val copiesOfFullestRank = copies.groupingBy { it.rank }.eachCount().values.maxOrNull() ?: 0
        return if (copiesOfFullestRank <= limits.maxCopiesPerSet) proposed else map
    }

    /** Returns all copies at [fullRanks], which already load the maximum for this change. */
    private fun blockedCopies(map: ExpertMap, fullRanks: Set<Rank>, now: Timestamp) =
        fullRanks.flatMap { rank ->
            List(map.expertCount) { ExpertCopy(ExpertId(it), rank) to now.deadlineAfter(1) }
        }.toMap()

    /** Returns the mean [skew] of all sets of [maps]. */
    public fun meanSkew(maps: List<ExpertMap>, demand: GroupDemand): Double =
        maps.indices.map { skew(maps[it], demand.tokens[it], demand.speed) }.average()

    /**
     * Returns the ratio of the slowest rank's time to the time with perfectly balanced tokens, or
     * 1 if there are no tokens.
     */
    private fun skew(map: ExpertMap, tokens: List<Double>, speed: RankSpeed): Double {
        val total = tokens.sum()
        if (total <= 0) return 1.0
        val times = DoubleArray(map.rankCount)
        tokens.forEachIndexed { expert, count ->
            val ranks: List<Rank> = map.ranksOf(ExpertId(expert))
            ranks.forEach { times[it.value] += count / ranks.size / speed.speedOf(it) }
        }
        val speeds = (0 until map.rankCount).sumOf { speed.speedOf(Rank(it)) }
        return times.max() * speeds / total
    }

    private companion object {
        /** Excess of the skew of a set over 1 up to which the set is not changed. */
        const val TOLERANCE = 0.1
        const val HYSTERESIS = 0.05

        /** Cost of a copy: loading takes about 0.15 s and makes passes 15 % slower meanwhile. */
        const val SKEW_PER_COPY = 0.08
        const val SKEW_WEIGHT = 0.7

        /**
         * Maximum number of copies in one set for one change. The first copies reduce the skew
         * most, and a change waits for the rank that loads longest.
         */
        const val MAX_COPIES_PER_SET = 4

        /**
         * Maximum number of copies over all sets that one rank loads for one change. Each takes
         * about 0.15 s.
         */
        const val MAX_COPIES_PER_RANK = 3

        /** Speed, relative to the usual one, at or below which a rank slows down its group. */
        const val RELIEF_MAX_SPEED = 0.75

        /** Number of edits that are also tried in combination with a second edit. */
        const val CHAIN_STARTS = 64

        /** Maximum number of copies in one set for one change that relieves slow ranks. */
        const val MAX_RELIEF_COPIES_PER_SET = 8

        /**
         * Maximum number of copies over all sets that one rank loads for a change that relieves
         * slow ranks. Loading them takes more than a second.
         */
        const val MAX_RELIEF_COPIES_PER_RANK = 8

        /** Minimum reduction of the mean skew that is worth the commands and copies of a change. */
        const val MIN_SKEW_REDUCTION = 0.35
    }
}
