package org.vanilladale.bench

import kotlinx.serialization.Serializable

/** Results of one seed, by variant name. */
public data class PairedRun<R>(val seed: Long, val results: Map<String, R>)

/** Median and range of a figure over seeds. */
@Serializable
public data class Spread(val median: Double, val minimum: Double, val maximum: Double)

/** Runs every variant with each of [seeds]. */
public fun <R> pairedRuns(
    seeds: List<Long>,
    variants: Map<String, (seed: Long) -> R>,
): List<PairedRun<R>> = seeds.map { seed ->
    PairedRun(seed, variants.mapValues { (_, run) -> run(seed) })
}

/** Returns median and range of [values], which must not be empty. */
public fun spreadOf(values: List<Double>): Spread {
    require(values.isNotEmpty()) { "a spread needs at least one value; run at least one seed" }
    val sorted = values.sorted()
    val middle = sorted.size / 2
    val median = if (sorted.size % 2 == 1) {
        sorted[middle]
    } else {
        (sorted[middle - 1] + sorted[middle]) / 2
    }
    return Spread(median, sorted.first(), sorted.last())
}

/** Returns the spread of [figure] of [variant] divided by that of [base], seed by seed. */
public fun <R> ratioSpread(
    runs: List<PairedRun<R>>,
    variant: String,
    base: String,
    figure: (R) -> Double,
): Spread = spreadOf(
    runs.map { figure(it.results.getValue(variant)) / figure(it.results.getValue(base)) },
)
