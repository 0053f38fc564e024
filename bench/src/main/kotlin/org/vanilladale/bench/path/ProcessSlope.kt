package org.vanilladale.bench.path

import kotlinx.serialization.Serializable
import org.vanilladale.bench.Spread
import org.vanilladale.bench.relativeFit
import org.vanilladale.bench.spreadOf

/** Figures of one measured window. */
@Serializable
internal data class SlopePoint(
    val seed: Long,
    val tokensPerRequest: Int,
    val seconds: Double,
    val requests: Long,
    val tokens: Long,
    val failures: Long,
    val firstToken: Latency,
    val whole: Latency,
    val usage: List<UsageResult>,
) {
    /** Requests with the parts that fell into the window; long answers end in few windows. */
    val servedRequests: Double get() = tokens.toDouble() / tokensPerRequest
}

/**
 * Processor time of one process in microseconds, without its idle share and its compiler.
 *
 * @property perRequest spread over the seeds
 * @property perToken spread over the seeds
 * @property largestError largest relative difference of a point from the fit of its seed
 */
@Serializable
internal data class ProcessSlope(
    val process: String,
    val perRequest: Spread,
    val perToken: Spread,
    val largestError: Double,
) {
    companion object {
        private const val MICROSECONDS = 1e6

        /**
         * Fits processor time by requests and tokens for each seed.
         *
         * @param idleShare processor seconds a second without load
         */
        fun fromPoints(process: String, idleShare: Double, points: List<SlopePoint>): ProcessSlope {
            val fits = points.groupBy { it.seed }.values.map { ofSeed ->
                relativeFit(
                    ofSeed.map { point ->
                        val usage = point.usage.first { it.process == process }
                        val used = usage.processorSeconds - usage.compilerSeconds
                        val loaded = (used - idleShare * point.seconds) * MICROSECONDS
                        listOf(point.servedRequests, point.tokens.toDouble()) to loaded
                    },
                )
            }
            return ProcessSlope(
                process,
                spreadOf(fits.map { it.factors[0] }),
                spreadOf(fits.map { it.factors[1] }),
                fits.maxOf { it.largestError },
            )
        }
    }
}

/** All points and the fitted line of each process. */
@Serializable
internal data class SlopeResult(val points: List<SlopePoint>, val slopes: List<ProcessSlope>)
