package org.vanilladale.bench.path

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles in microseconds. */
@Serializable
internal data class Latency(val p50: Long, val p99: Long, val p999: Long, val maximum: Long) {
    companion object {
        private const val MEDIAN = 50.0
        private const val P99 = 99.0
        private const val P999 = 99.9

        fun fromHistogram(histogram: Histogram): Latency = Latency(
            histogram.getValueAtPercentile(MEDIAN),
            histogram.getValueAtPercentile(P99),
            histogram.getValueAtPercentile(P999),
            histogram.maxValue,
        )
    }
}

/** Figures of one way. */
@Serializable
internal data class WayResult(
    val requests: Long,
    val failures: Long,
    val firstLine: Latency,
    val whole: Latency,
) {
    companion object {
        fun fromMeasures(measures: PathMeasures): WayResult = WayResult(
            measures.whole.totalCount,
            measures.failures.get(),
            Latency.fromHistogram(measures.firstLine),
            Latency.fromHistogram(measures.whole),
        )
    }
}

/**
 * Use of one process over the run.
 *
 * @property processorSeconds processor time of all threads
 * @property compilerSeconds part of it in the JVM's compiler threads
 */
@Serializable
internal data class UsageResult(
    val process: String,
    val processorSeconds: Double,
    val compilerSeconds: Double,
    val residentMegabytes: Double,
)

/** Figures of one paired run. */
@Serializable
internal data class PathResult(
    val seed: Long,
    val seconds: Double,
    val direct: WayResult,
    val entry: WayResult,
    val usage: List<UsageResult>,
)
