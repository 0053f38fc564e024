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
public data class ChangeLimits(val copiesOfSet: Int)

/**
 * New maps for all sets of a group, and the mean skew of the sets before and after.
 *
 * @property copies experts that all ranks load for it
 * @property copiesOfRank experts that the rank with most of them loads
 */
public data class GroupProposal(
    val maps: List<ExpertMap>,
    val skewBefore: Double,
    val skewAfter: Double,
    val copies: Int,
    val copiesOfRank: Int,
)

/**
 * Plans the maps of a group's sets of layers together; answers sudden shifts of the demand.
 *
 * A pass lasts as long as the sum over the sets of their fullest ranks, so a change is judged by
 * the mean skew of all sets.
 */
public class GroupPlanner {
    private val options = PlacementOptions(
        tolerance = TOLERANCE,
        hysteresis = HYSTERESIS,
        skewOfMove = SKEW_OF_COPY,
        movesPerProposal = MOST_COPIES,
        coolDownMilliseconds = 0,
        urgentSkew = Double.POSITIVE_INFINITY,
    )
    private val planner = PlacementPlanner(options)

    /** Returns better maps for the tokens of each expert by set, or null when none pays. */
    public fun planOrNull(
        maps: List<ExpertMap>,
        tokens: List<List<Double>>,
        limits: ChangeLimits,
        now: Timestamp,
    ): GroupProposal? {
        // Ranks load for one set after the other, so the sets share out what each rank loads.
        val loads = HashMap<Rank, Int>()
        val planned = maps.indices.map { set ->
            val full = loads.filterValues { it >= MOST_COPIES_OF_RANK }.keys
            planSet(maps[set], tokens[set], limits, full, now).also { map ->
                map.copiesMissingIn(maps[set]).forEach { loads.merge(it.rank, 1, Int::plus) }
            }
        }
        val before = maps.indices.map { skew(maps[it], tokens[it]) }.average()
        val after = maps.indices.map { skew(planned[it], tokens[it]) }.average()
        if (before - after < LEAST_GAIN) return null
        val copies = maps.indices.flatMap { planned[it].copiesMissingIn(maps[it]) }
        val copiesOfRank = copies.groupingBy { it.rank }.eachCount().values.maxOrNull() ?: 0
        return GroupProposal(planned, before, after, copies.size, copiesOfRank)
    }

    private fun planSet(
        map: ExpertMap,
        tokens: List<Double>,
        limits: ChangeLimits,
        full: Set<Rank>,
        now: Timestamp,
    ): ExpertMap {
        val popularity = ExpertPopularity.even(map.expertCount).observe(tokens, now)
        val input = PlacementInput(
            PlacementState(map, MoveBudget.of(MOST_COPIES), barred = barred(map, full, now)),
            popularity,
            RankSpeed.even(map.rankCount),
            SKEW_WEIGHT,
            now,
        )
        val proposed = planner.plan(input).getOrNull()?.map ?: return map
        val most = proposed.copiesMissingIn(map).groupingBy {
            it.rank
        }.eachCount().values.maxOrNull()
        return if (most == null || most <= limits.copiesOfSet) proposed else map
    }

    /** Keeps further copies off the ranks that load enough for this change. */
    private fun barred(map: ExpertMap, full: Set<Rank>, now: Timestamp) = full.flatMap { rank ->
        List(map.expertCount) { ExpertCopy(ExpertId(it), rank) to now.deadlineAfter(1) }
    }.toMap()

    /** Returns the load of the fullest rank over the mean; 1 without tokens. */
    public fun skew(map: ExpertMap, tokens: List<Double>): Double {
        val total = tokens.sum()
        if (total <= 0) return 1.0
        val loads = DoubleArray(map.rankCount)
        tokens.forEachIndexed { expert, count ->
            val ranks: List<Rank> = map.ranksOf(ExpertId(expert))
            ranks.forEach { loads[it.value] += count / ranks.size }
        }
        return loads.max() * map.rankCount / total
    }

    private companion object {
        /** Skew that needs no change of a set. */
        const val TOLERANCE = 0.1
        const val HYSTERESIS = 0.05

        /** A copy makes passes 15 % slower while it is loaded, for about 0.15 s. */
        const val SKEW_OF_COPY = 0.08
        const val SKEW_WEIGHT = 0.7

        /** The first copies gain most, and a change waits for the rank that loads longest. */
        const val MOST_COPIES = 4

        /** Copies of all sets that one rank loads for one change, about 0.15 s each. */
        const val MOST_COPIES_OF_RANK = 3

        /** Drop of the mean skew that is worth the orders and copies of a change. */
        const val LEAST_GAIN = 0.35
    }
}
