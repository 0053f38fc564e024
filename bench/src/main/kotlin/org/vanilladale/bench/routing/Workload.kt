package org.vanilladale.bench.routing

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** One request of a caller; the same list drives all variants of a seed. */
internal data class Arrival(
    val atMicroseconds: Long,
    val entry: Int,
    val workspace: Int,
    val prefix: Int,
    val outputTokens: Int,
)

/** Poisson arrivals of workspaces with different rates and drifting prefix popularity. */
internal object Workload {
    const val PREFIXES_PER_WORKSPACE = 20
    private const val LARGE_EVERY = 4
    private const val LARGE_WEIGHT = 5.0
    private const val ZIPF_EXPONENT = 1.0
    private const val DRIFT_MICROSECONDS = 20_000_000L
    private const val LEAST_TOKENS = 10
    private const val MEAN_EXTRA_TOKENS = 50.0
    private const val MOST_TOKENS = 120
    private const val MICROSECONDS_PER_SECOND = 1e6

    fun arrivals(condition: Condition, seed: Int): List<Arrival> {
        val random = Random(seed)
        val weights = weights(condition)
        val perSecond = condition.load * EngineModel.capacityPerSecond(condition.targets)
        val popularity = List(PREFIXES_PER_WORKSPACE) { (it + 1.0).pow(-ZIPF_EXPONENT) }
        val end = Condition.SECONDS * MICROSECONDS_PER_SECOND
        val arrivals = ArrayList<Arrival>()
        var at = 0.0
        while (true) {
            at += exponential(random) / perSecond * MICROSECONDS_PER_SECOND
            if (at >= end) return arrivals
            val workspace = pick(weights, random)
            val rank = pick(popularity, random)
            val shift = (at.toLong() / DRIFT_MICROSECONDS).toInt()
            val prefix = (rank + shift) % PREFIXES_PER_WORKSPACE
            val tokens = LEAST_TOKENS + (exponential(random) * MEAN_EXTRA_TOKENS).toInt()
            arrivals += Arrival(
                at.toLong(),
                random.nextInt(condition.entries),
                workspace,
                workspace * PREFIXES_PER_WORKSPACE + prefix,
                tokens.coerceAtMost(MOST_TOKENS),
            )
        }
    }

    private fun weights(condition: Condition): List<Double> {
        val weights = List(condition.workspaces) {
            if (it % LARGE_EVERY ==
                0
            ) {
                LARGE_WEIGHT
            } else {
                1.0
            }
        }
        val flood = weights.sum() * condition.floodLoad / (condition.load - condition.floodLoad)
        return listOf(weights.first() + flood) + weights.drop(1)
    }

    private fun exponential(random: Random): Double = -ln(1.0 - random.nextDouble())

    private fun pick(weights: List<Double>, random: Random): Int {
        var rest = random.nextDouble() * weights.sum()
        for ((index, weight) in weights.withIndex()) {
            rest -= weight
            if (rest < 0) return index
        }
        return weights.lastIndex
    }
}
