package org.vanilladale.core.placement

import arrow.core.Either
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

class PlacementPlannerTest {
    private val options = PlacementOptions()
    private val planner = PlacementPlanner(options)

    private fun at(seconds: Int) = Timestamp.fromEpochMilliseconds(seconds * 1_000L)

    private fun ranks(vararg held: Int) = held.map(::Rank)

    private fun input(
        shares: List<Double>,
        map: ExpertMap = ExpertMap.evenly(4, 3, shares.size),
        weight: Double = 0.8,
        budget: Int = 8,
    ) = PlacementInput(
        PlacementState(map, MoveBudget.of(budget)),
        ExpertPopularity.even(shares.size).observe(shares, at(0)),
        RankSpeed.even(map.rankCount),
        weight,
        at(1),
    )

    private fun stay(input: PlacementInput) = (planner.plan(input) as? Either.Left)?.value

    @Test
    fun `invalid maps are rejected with the fault`() {
        val cases = listOf(
            listOf(ranks(0), ranks()) to ExpertMapFault.Unplaced(ExpertId(1)),
            listOf(ranks(2)) to ExpertMapFault.UnknownRank(ExpertId(0), Rank(2), 2),
            listOf(ranks(1, 1)) to ExpertMapFault.DuplicateCopy(ExpertId(0), Rank(1)),
            List(3) { ranks(0) } to ExpertMapFault.SlotsExceeded(Rank(0), 3, 2),
        )
        cases.forEach { (held, fault) ->
            expectThat(ExpertMap.fromRanks(2, 2, held).leftOrNull()).isEqualTo(fault)
        }
        expectThat(ExpertMap.evenly(2, 2, 3).digest).isEqualTo(ExpertMap.evenly(2, 2, 3).digest)
        expectThat(ExpertMap.evenly(2, 2, 3).digest).isNotEqualTo(ExpertMap.evenly(2, 3, 3).digest)
    }

    @Test
    fun `each reason for keeping the map is distinguished`() {
        val hot = listOf(9.0, 9.0, 1.0, 1.0, 9.0, 1.0, 1.0, 1.0)
        val input = input(hot)
        val cooling = input.state.copy(coolDownUntil = at(0).deadlineAfter(5_000))
        expectThat(stay(input.copy(popularity = ExpertPopularity.even(8))))
            .isEqualTo(PlacementSkipReason.NoReports)
        val calm = PlacementPlanner(options.copy(urgentSkew = Double.POSITIVE_INFINITY))
        expectThat(calm.plan(input.copy(state = cooling)).leftOrNull())
            .isA<PlacementSkipReason.CoolingDown>()
        val mild = input(listOf(1.3, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0))
        expectThat(stay(mild.copy(state = cooling.copy(map = mild.state.map))))
            .isA<PlacementSkipReason.CoolingDown>()
        expectThat(stay(input(List(8) { 1.0 }))).isA<PlacementSkipReason.Balanced>()
        expectThat(stay(input(hot, budget = 0))).isA<PlacementSkipReason.BudgetExhausted>()
        expectThat(stay(input(hot, weight = 0.0))).isA<PlacementSkipReason.GainBelowHysteresis>()
        expectThat(stay(input)).isEqualTo(null)
    }

    /**
     * Guards against a group that remains skewed for minutes after a sudden shift of popularity.
     */
    @Test
    fun `an urgent skew ignores the cool-down and its report replaces the smoothed shares`() {
        val map = ExpertMap.evenly(4, 3, 8)
        val even = ExpertPopularity.even(8).observe(List(8) { 1.0 }, at(0))
        fun observed(hottest: Double): ExpertPopularity {
            val tokens = List(8) { if (it == 0) hottest else 1.0 }
            return planner.observe(even, tokens, at(10), map, RankSpeed.even(4))
        }
        expectThat(observed(9.0).shareOf(ExpertId(0))).isEqualTo(9.0 / 16)
        expectThat(observed(1.4).shareOf(ExpertId(0))).isLessThan(1.4 / 8.4)
        val cooling = PlacementState(map, MoveBudget.of(8), at(5).deadlineAfter(120_000))
        val urgent = PlacementInput(cooling, observed(9.0), RankSpeed.even(4), 0.8, at(10))
        expectThat(planner.plan(urgent).isRight()).isTrue()
        val used = urgent.copy(state = cooling.copy(budget = MoveBudget.of(0)))
        expectThat(planner.plan(used).leftOrNull()).isA<PlacementSkipReason.BudgetExhausted>()
    }

    @Test
    fun `proposals lower the skew within budget and slots and add no excluded copy`() {
        for (seed in 1..40) {
            val random = Random(seed)
            var input = input(List(24) { 1.0 }, ExpertMap.evenly(6, 5, 24), budget = 12)
            var proposed = 0
            for (minute in 1..240) {
                if (minute % 20 == 1) {
                    val shares = List(24) { random.nextDouble(0.1, 2.0) }
                    val popularity = ExpertPopularity.even(24).observe(shares, at(minute * 60))
                    input = input.copy(popularity = popularity)
                }
                val now = at(minute * 60)
                input = input.copy(now = now)
                val proposal = planner.plan(input).getOrNull() ?: continue
                proposed++
                val before = input.state
                expectThat(proposal.skewAfter).isLessThan(proposal.skewBefore)
                expectThat(proposal.loads.size <= before.budget.remaining(now)).isTrue()
                expectThat(
                    proposal.loads.any { before.excludedCopies[it]?.hasPassed(now) == false },
                ).isFalse()
                expectThat(planner.plan(input).getOrNull()).isEqualTo(proposal)
                input = input.copy(state = before.accept(proposal, now, options))
            }
            expectThat(proposed).isGreaterThan(2)
        }
    }

    @Test
    fun `a slow rank gets fewer experts and its speed returns to 1 after recovery`() {
        val loads = List(4) { 0.25 }
        var speed = RankSpeed.even(4)
        val slow = listOf(10.0, 10.0, 20.0, 10.0)
        (0..30).forEach { speed = speed.observe(loads, slow, at(it * 10)) }
        expectThat(speed.speedOf(Rank(2))).isLessThan(0.51)
        val input = input(List(8) { 1.0 }).copy(speed = speed)
        val proposal = planner.plan(input).getOrNull()
        expectThat(proposal?.map?.expertsOn(Rank(2))?.size).isEqualTo(1)
        (31..90).forEach { speed = speed.observe(loads, List(4) { 10.0 }, at(it * 10)) }
        expectThat(speed.speedOf(Rank(2))).isEqualTo(1.0)
    }

    @Test
    fun `popularity follows a shift with its time constant and ignores old reports`() {
        val before = ExpertPopularity.even(4, PopularityOptions(timeConstantMilliseconds = 150_000))
            .observe(List(4) { 1.0 }, at(0))
        val after = before.observe(listOf(0.0, 0.0, 0.0, 1.0), at(150))
        val followed = (after.shareOf(ExpertId(3)) - 0.25) / 0.75
        expectThat(followed).isGreaterThan(0.63).isLessThan(0.64)
        expectThat(after.shares().sum()).isGreaterThan(0.999).isLessThan(1.001)
        expectThat(after.observe(List(4) { 1.0 }, at(0))).isEqualTo(after)
    }

    @Test
    fun `spent moves return one by one at their deadlines`() {
        val budget = MoveBudget.of(5).spend(3, at(0), at(0).deadlineAfter(10_000))
            .spend(2, at(5), at(5).deadlineAfter(10_000))
        expectThat(listOf(0, 9, 10, 14, 15).map { budget.remaining(at(it)) })
            .isEqualTo(listOf(0, 0, 3, 3, 5))
    }

    @Test
    fun `a new map replicates the hottest expert`() {
        val map = balancedMap(4, 3, listOf(8.0) + List(7) { 1.0 }, RankSpeed.even(4))
        expectThat(map.ranksOf(ExpertId(0)).size).isEqualTo(4)
        expectThat(map.copyCount).isEqualTo(12)
    }
}
