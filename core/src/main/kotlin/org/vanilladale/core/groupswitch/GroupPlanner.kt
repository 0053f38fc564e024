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

/** Limits of one change of a group's maps: copies that a rank can load for each set. */
public data class ChangeLimits(val maxCopiesPerSet: Int)

/** What maps are planned for: the [tokens] of each expert by set, and the [speed] of the ranks. */
public data class GroupDemand(val tokens: List<List<Double>>, val speed: RankSpeed)

/**
 * New maps for all sets of a group, and the mean skew of the sets before and after.
 *
 * @property copies experts that all ranks load for it
 * @property copiesOfBusiestRank experts that the rank with most of them loads
 */
public data class GroupProposal(
    val maps: List<ExpertMap>,
    val skewBefore: Double,
    val skewAfter: Double,
    val copies: Int,
    val copiesOfBusiestRank: Int,
)

/**
 * Plans the maps of a group's sets of layers together; answers sudden shifts of the demand and
 * ranks that turn slow.
 *
 * A pass lasts as long as the sum over the sets of their slowest ranks, so a change is judged by
 * the mean skew of all sets. A rank that takes several times as long as the others for its work
 * slows down all streams of its group, so its experts with the most tokens move at once, for which
 * the other ranks load more copies than for a shift.
 */
public class GroupPlanner {
    /** Copies that one change may take, of one set and of all sets of a rank. */
    private class CopyLimits(val perSet: Int, val perRank: Int, chainStarts: Int) {
        val planner = PlacementPlanner(
            PlacementOptions(
                tolerance = TOLERANCE,
                hysteresis = HYSTERESIS,
                skewOfMove = SKEW_PER_COPY,
                movesPerProposal = perSet,
                coolDownMilliseconds = 0,
                urgentSkew = Double.POSITIVE_INFINITY,
                chainStarts = chainStarts,
            ),
        )
    }

    private val shiftLimits = CopyLimits(MAX_COPIES_PER_SET, MAX_COPIES_PER_RANK, CHAIN_STARTS)

    /** With slow ranks much skew stays, and a search of pairs of edits would go on for minutes. */
    private val reliefLimits = CopyLimits(MAX_RELIEF_COPIES_PER_SET, MAX_RELIEF_COPIES_PER_RANK, 0)

    /** Returns better maps for [demand], or null when none pays. */
    public fun planOrNull(
        maps: List<ExpertMap>,
        demand: GroupDemand,
        limits: ChangeLimits,
        now: Timestamp,
    ): GroupProposal? {
        val before = meanSkew(maps, demand)
        val copyLimits = if (demand.speed.slowest <= RELIEF_MAX_SPEED) reliefLimits else shiftLimits
        // Ranks load for one set after the other, so the sets share out what each rank loads.
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
                barred = blockedCopies(map, fullRanks, now),
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

    /** Keeps further copies off the ranks that load enough for this change. */
    private fun blockedCopies(map: ExpertMap, fullRanks: Set<Rank>, now: Timestamp) =
        fullRanks.flatMap { rank ->
            List(map.expertCount) { ExpertCopy(ExpertId(it), rank) to now.deadlineAfter(1) }
        }.toMap()

    /** Returns the mean over the sets of [maps] of their [skew]. */
    public fun meanSkew(maps: List<ExpertMap>, demand: GroupDemand): Double =
        maps.indices.map { skew(maps[it], demand.tokens[it], demand.speed) }.average()

    /**
     * Returns the time of the slowest rank over that of a perfect spread of the tokens; 1 without
     * tokens.
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
        /** Skew that needs no change of a set. */
        const val TOLERANCE = 0.1
        const val HYSTERESIS = 0.05

        /** A copy makes passes 15 % slower while it is loaded, for about 0.15 s. */
        const val SKEW_PER_COPY = 0.08
        const val SKEW_WEIGHT = 0.7

        /** The first copies gain most, and a change waits for the rank that loads longest. */
        const val MAX_COPIES_PER_SET = 4

        /** Copies of all sets that one rank loads for one change, about 0.15 s each. */
        const val MAX_COPIES_PER_RANK = 3

        /** Speed over the usual one from which on a rank slows down its group. */
        const val RELIEF_MAX_SPEED = 0.75

        /** Edits that are tried with a second one. */
        const val CHAIN_STARTS = 64

        /** Copies of a set for one change that relieves slow ranks. */
        const val MAX_RELIEF_COPIES_PER_SET = 8

        /** Copies of all sets that one rank loads for such a change; a second and more. */
        const val MAX_RELIEF_COPIES_PER_RANK = 8

        /** Drop of the mean skew that is worth the orders and copies of a change. */
        const val MIN_SKEW_REDUCTION = 0.35
    }
}
