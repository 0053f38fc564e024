package org.vanilladale.core.rollout

/**
 * The intervals used by [Rollout], in milliseconds.
 *
 * @property reportIntervalMilliseconds the interval at which the progress is reported again during
 *   a rollout
 * @property observationMilliseconds the time to collect progress reports after a start, a pause or
 *   the loss of the loaded version. It equals two report intervals, so that the other targets know
 *   about this one before it loads.
 * @property silenceMilliseconds the time without a progress report after which a target no longer
 *   blocks others. It is longer than the 16 s in which a revision becomes active everywhere,
 *   because a target without a plan reports no progress.
 * @property maxTickGapMilliseconds the maximum time between two ticks. After a longer gap, this
 *   process counts as paused. It is shorter than [silenceMilliseconds], so that a paused target
 *   starts a new observation before the others stop waiting for it.
 * @property leaseMilliseconds the time within which a command must be sent after the decision
 * @property drainMilliseconds the maximum wait for requests in flight before a model version is
 *   loaded
 * @property initialBackoffMilliseconds the wait after the first failed load. It doubles with each
 *   further failure, up to [maxBackoffMilliseconds].
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
