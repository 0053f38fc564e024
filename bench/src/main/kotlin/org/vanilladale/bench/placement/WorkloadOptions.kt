package org.vanilladale.bench.placement

/**
 * Model of the load of one layer.
 *
 * @property hours virtual time of a run
 * @property zipfExponent exponent of the popularity by expert position
 * @property driftAmplitude largest change of the logarithm of a popularity over a day
 * @property shiftShare share of the experts that trade popularity in a sudden shift
 * @property slowSpeed speed of the slow rank
 * @property slowSeconds time for which the rank is slow
 * @property tokensPerRank mean assignments a rank computes in a step, which sets the token noise
 * @property jitter relative standard deviation of the time of a rank, besides token noise
 * @property settleSeconds time after a shift or change of speed that is not counted as settled
 */
public data class WorkloadOptions(
    val hours: Int = 8,
    val zipfExponent: Double = 0.6,
    val driftAmplitude: Double = 0.4,
    val shiftShare: Double = 0.25,
    val slowSpeed: Double = 0.6,
    val slowSeconds: Int = 2_400,
    val tokensPerRank: Double = 8_192.0,
    val jitter: Double = 0.005,
    val settleSeconds: Int = 900,
)
