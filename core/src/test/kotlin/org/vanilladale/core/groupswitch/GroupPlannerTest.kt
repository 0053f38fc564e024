package org.vanilladale.core.groupswitch

import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Checks the plans after a sudden shift of the demand to other experts and with slow ranks. */
class GroupPlannerTest {
    private val planner = GroupPlanner()
    private val now = Timestamp.fromEpochMilliseconds(0)
    private val evenSpeed = RankSpeed.even(RANKS)
    private val even = List(SETS) { ExpertMap.evenly(RANKS, PLACES, EXPERTS) }

    /**
     * Returns a weight for each expert: 1 / n^1.5 for the n-th expert of an order that is random
     * for each set.
     */
    private fun demand(seed: Int) = List(SETS) { set ->
        val order = (0 until EXPERTS).shuffled(Random(seed * SETS + set))
        List(EXPERTS) { expert -> 1.0 / Math.pow(order[expert] + 1.0, 1.5) }
    }

    private fun plan(maps: List<ExpertMap>, tokens: List<List<Double>>) =
        planner.planOrNull(maps, GroupDemand(tokens, evenSpeed), ChangeLimits(4), now)

    @Test
    fun `a few copies bring the busiest rank near the mean after each shift`() {
        for (seed in 1..5) {
            var maps = even
            for (shift in 0..5) {
                val tokens = demand(seed * 10 + shift)
                repeat(2) {
                    val proposal = plan(maps, tokens) ?: return@repeat
                    // The limit of three is checked before each set, so the last set may exceed it.
                    expectThat(proposal.copiesOfBusiestRank).isLessThanOrEqualTo(3 + 3)
                    expectThat(proposal.skewAfter).isLessThan(proposal.skewBefore)
                    maps = proposal.maps
                }
                val skew = planner.meanSkew(maps, GroupDemand(tokens, evenSpeed))
                expectThat(skew).describedAs("seed $seed, shift $shift").isLessThan(1.5)
            }
        }
    }

    @Test
    fun `the even map leaves one rank with far more than the mean`() {
        val tokens = demand(1)
        expectThat(planner.meanSkew(even, GroupDemand(tokens, evenSpeed))).isGreaterThan(2.0)
    }

    @Test
    fun `nothing moves for a small gain`() {
        val tokens = demand(1)
        var maps = even
        repeat(4) { maps = plan(maps, tokens)?.maps ?: maps }
        expectThat(plan(maps, tokens)).isNull()
        expectThat(plan(even, tokens)).isNotNull()
        expectThat(plan(even, List(SETS) { List(EXPERTS) { 1.0 } })).isNull()
    }

    @Test
    fun `passes stay short when some ranks are twelve times slower`() {
        val slow = RankSpeed.fromSlowdowns(List(RANKS) { if (it < 3) 12.0 else 1.0 })
        for (seed in 1..5) {
            val demand = GroupDemand(demand(seed), slow)
            var maps = even
            repeat(3) {
                maps = planner.planOrNull(maps, demand, ChangeLimits(4), now)?.maps ?: maps
            }
            expectThat(planner.meanSkew(even, demand)).isGreaterThan(5.0)
            expectThat(planner.meanSkew(maps, demand)).describedAs("seed $seed").isLessThan(2.5)
        }
    }

    private companion object {
        const val SETS = 6
        const val RANKS = 8
        const val EXPERTS = 64
        const val PLACES = 11
    }
}
