package org.vanilladale.bench.routing

import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** A set of variants that run under the same conditions; ratios are to [baseline]. */
internal data class Study(
    val name: String,
    val conditions: List<Condition>,
    val variants: List<Variant>,
    val baseline: String,
) {
    companion object {
        private val wide = Condition("wide-0.8", load = 0.8, entries = 360, targets = 31)

        private val singleFault =
            Condition("single-fault", load = 0.8, fault = true, faultEvery = 16)

        private fun conditions(vararg names: String) = Condition.all.filter { it.name in names }

        val all: List<Study> = listOf(
            Study("policies", Condition.all, Variant.policies, Variant.twoChoices.name),
            Study("protection", Condition.all, Variant.protection, "unprotected"),
            Study("single-fault", listOf(singleFault), Variant.protection, "no-retries"),
            Study("ages", conditions("drift-0.8", "slow-target"), Variant.ages, "report-2000"),
            Study(
                "events",
                conditions("drift-0.8", "overload-1.0", "fault"),
                Variant.events,
                "affinity-1.5",
            ),
            Study("subsets", listOf(wide), Variant.subsets, "subset-16"),
            Study("slow", conditions("drift-0.8", "slow-target"), Variant.slow, "no-slow-marks"),
            Study(
                "fallbacks",
                conditions("drift-0.8", "slow-target", "overload-1.0", "fault"),
                Variant.fallbacks,
                "fallback-round-robin",
            ),
            Study(
                "capacities",
                conditions("drift-0.8", "flood", "overload-1.5"),
                Variant.capacities,
                "capacity-2.0",
            ),
            Study(
                "heartbeats",
                conditions("drift-0.8", "slow-target", "overload-1.0", "fault") + wide,
                Variant.heartbeats,
                "heartbeat-1",
            ),
        )
    }
}

/** Runs studies; the runs are in virtual time, so that threads change no result. */
internal object Experiments {
    fun run(study: Study, seeds: List<Int>, threads: Int): List<RunResult> {
        val pool = Executors.newFixedThreadPool(threads)
        try {
            val runs = study.conditions.flatMap { condition ->
                study.variants.flatMap { variant ->
                    seeds.map { seed -> Callable { World(condition, variant, seed).run() } }
                }
            }
            return pool.invokeAll(runs).map { it.get() }
        } finally {
            pool.shutdown()
        }
    }
}
