package org.vanilladale.core.gateway

import kotlin.math.ceil

/**
 * Requests that the ranks of a group decode.
 *
 * @property fullest number of requests at the rank with the most
 * @property mean mean number of requests per rank
 */
public data class GroupLoad(val fullest: Int, val mean: Double) {
    public companion object {
        /**
         * Returns the load of ranks with [running] requests each. Requests beyond [slots] wait in
         * the queue of their rank and do not slow down a pass.
         */
        public fun of(running: List<Int>, slots: Int): GroupLoad {
            val decoding = running.map { it.coerceAtMost(slots) }
            return GroupLoad(decoding.max().coerceAtLeast(1), decoding.average())
        }
    }
}

/**
 * Predicts the duration of the passes of a rank group.
 *
 * All ranks run each pass together. A pass takes as long as the rank with the most work of its own,
 * plus the time of the busiest experts, among which the tokens of all ranks are distributed. The
 * total number of requests in the group therefore matters more than the number at a single rank.
 */
public class PassModel(private val engine: EngineProfile) {
    private val expertShare = engine.experts?.expertShare ?: 0.0

    /** Time for reading a prompt; under load, some rank of the group reads one in each pass. */
    private val readMilliseconds = engine.meanPromptTokens / engine.prefillTokensPerSecond * 1_000

    /**
     * Returns the duration of a pass in milliseconds.
     *
     * @param skew tokens of the busiest expert places relative to the mean, 1 or more
     */
    public fun milliseconds(load: GroupLoad, skew: Double = 1.0): Double = readMilliseconds +
        (1 - expertShare) * engine.passMilliseconds(load.fullest.toDouble()) +
        expertShare * engine.passMilliseconds(load.mean) * skew

    /** Returns the skew that explains passes of [observedMilliseconds] under [load]. */
    public fun skew(observedMilliseconds: Double, load: GroupLoad): Double {
        if (expertShare <= 0) return 1.0
        val ownMilliseconds = milliseconds(load, skew = 0.0)
        val expertMilliseconds = milliseconds(load) - ownMilliseconds
        return ((observedMilliseconds - ownMilliseconds) / expertMilliseconds).coerceAtLeast(1.0)
    }

    /**
     * Returns the highest mean number of requests per rank at which passes take at most
     * [maxMilliseconds], or null if passes with a single request per rank already take longer.
     */
    public fun maxMeanOrNull(maxMilliseconds: Double, skew: Double): Double? {
        fun isWithin(mean: Double) =
            milliseconds(GroupLoad(ceil(mean).toInt(), mean), skew) <= maxMilliseconds
        return (STEPS_PER_REQUEST..engine.slots * STEPS_PER_REQUEST)
            .map { it.toDouble() / STEPS_PER_REQUEST }
            .takeWhile(::isWithin)
            .lastOrNull()
    }

    private companion object {
        /** Resolution of a limit; in a group of eight ranks a step is less than one request. */
        const val STEPS_PER_REQUEST = 10
    }
}
