package org.vanilladale.bench.routing

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class WorldTest {
    private val flood = Condition.all.first { it.name == "flood" }
    private val fault = Condition.all.first { it.name == "fault" }

    @Test
    fun `a run repeats exactly and variants share the arrivals`() {
        val first = World(fault, Variant.default, seed = 3).run()
        expectThat(World(fault, Variant.default, seed = 3).run()).isEqualTo(first)
        val other = World(fault, Variant.random, seed = 3).run()
        expectThat(other.offeredPerSecond).isEqualTo(first.offeredPerSecond)
    }

    @Test
    fun `each request completes or is refused, but for those in flight at the ends`() {
        val result = World(flood, Variant.default, seed = 4).run()
        val seconds = Condition.SECONDS - Condition.WARM_UP_SECONDS
        val ended = result.goodputPerSecond * seconds + result.refusals.values.sum()
        expectThat(ended / (result.offeredPerSecond * seconds))
            .isGreaterThan(0.98).isLessThan(1.02)
    }

    @Test
    fun `without fairness a flood takes the place of a small workspace`() {
        val unfair = Variant.protection.first { it.name == "no-fairness" }
        val share = { variant: Variant -> World(flood, variant, 5).run().smallestWorkspaceShare }
        expectThat(share(Variant.default)).isGreaterThan(share(unfair) * 1.5)
    }

    @Test
    fun `the fit of a straight line has no error`() {
        val (slope, intercept, error) = DecisionCost.fit(listOf(1 to 5.0, 2 to 7.0, 4 to 11.0))
        expectThat(slope).isEqualTo(2.0)
        expectThat(intercept).isEqualTo(3.0)
        expectThat(error).isLessThan(1e-9)
    }
}
