package org.vanilladale.bench.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class PlacementRunTest {
    private val workload = Workload(PlacementSize(8, 64), WorkloadOptions(hours = 3), seed = 3)

    private fun figures(variant: String) =
        PlacementRun(workload, placementVariants.getValue(variant), skewWeight = 0.8).run()

    @Test
    fun `the planner repeats exactly, never flaps and moves less than the timer`() {
        val planner = figures("planner")
        expectThat(figures("planner")).isEqualTo(planner)
        expectThat(planner.flaps).isEqualTo(0)
        expectThat(planner.moves * 4).isLessThan(figures("timer").moves)
        expectThat(planner.settledRatio.p99).isLessThan(figures("never").settledRatio.p99)
    }

    @Test
    fun `no policy beats the bound by more than the noise`() {
        placementVariants.keys.take(4).forEach { variant ->
            expectThat(figures(variant).ratio.p50).isGreaterThan(0.995)
        }
    }
}
