package org.vanilladale.core.rollout

/**
 * Intervals of the rollout decision in milliseconds.
 *
 * @property reportIntervalMilliseconds interval of repeated statements while a rollout goes on
 * @property observationMilliseconds time to listen after a start, a pause or a loss of the loaded
 *   version; two repeats, so that the others have heard of this target before it loads
 * @property silenceMilliseconds time without a statement after which a target holds up no other
 *   one; longer than the 16 s in which a revision comes into force everywhere, because a target
 *   without a plan states nothing
 * @property maxTickGapMilliseconds gap between two ticks from which on this process counts as paused;
 *   shorter than the silence, so that a paused target listens again before others passed it over
 * @property leaseMilliseconds time in which a decided command has to be sent
 * @property drainMilliseconds longest wait for requests in flight before a model version is loaded
 * @property initialBackoffMilliseconds pause after the first failed load; it doubles with each further
 *   one up to [maxBackoffMilliseconds]
 */
public data class RolloutOptions(
    val reportIntervalMilliseconds: Long = 3_000,
    val observationMilliseconds: Long = 6_000,
    val silenceMilliseconds: Long = 20_000,
    val maxTickGapMilliseconds: Long = 3_000,
    val leaseMilliseconds: Long = 2_000,
    val drainMilliseconds: Long = 30_000,
    val initialBackoffMilliseconds: Long = 2_000,
    val maxBackoffMilliseconds: Long = 120_000,
)
