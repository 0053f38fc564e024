package org.vanilladale.bench.rollout

/**
 * Times of the modelled engines, network and weight store in milliseconds.
 *
 * The loads are shorter than those of large models; all of them scale the time of a rollout alike.
 *
 * @property spreadMilliseconds time within which each agent accepts a revision; the stated limit
 * @property drainMilliseconds longest time until the requests in flight have ended
 * @property readMilliseconds mean time of a read of the weight store, varied by a quarter
 * @property loadMilliseconds time from the read until the engine serves
 * @property storeReads reads that may start within a minute
 */
internal class RolloutModel(
    val tickMilliseconds: Long = 250,
    val spreadMilliseconds: Long = 16_000,
    val drainMilliseconds: Long = 10_000,
    val readMilliseconds: Long = 30_000,
    val loadMilliseconds: Long = 20_000,
    val storeReads: Int = 8,
    val pauseMilliseconds: Long = 60_000,
    val lossPercent: Int = 1,
    val latePercent: Int = 1,
)
