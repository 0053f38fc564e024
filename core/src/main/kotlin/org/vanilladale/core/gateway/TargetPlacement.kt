package org.vanilladale.core.gateway

import kotlin.random.Random

/**
 * A target that a request could go to.
 *
 * @property running requests that all entries together have at the target
 * @property failures failed attempts of all entries in the last seconds
 * @property gapMilliseconds time between events that entries see at the target; null when unseen
 * @property avoided whether this entry could not reach the target a moment ago
 * @property isSameDataCentre whether the target is in the data centre of this entry
 */
public data class PlacementCandidate(
    val target: KnownTarget,
    val running: Int,
    val failures: Int,
    val gapMilliseconds: Double?,
    val avoided: Boolean,
    val isSameDataCentre: Boolean,
)

/**
 * Chooses the target of an attempt; answers the steady load and bursts of streams.
 *
 * All ranks of a group run each pass together, so a pass lasts as long as that of the fullest rank.
 * A request goes to the group whose passes stay shortest with it, there to the emptiest rank. A
 * rank takes only as many requests as keep the pauses between events under the route's goal, with a
 * reserve for passes that grow after a shift of the demand. A request whose first event would come
 * too late otherwise is urgent and may use most of that reserve.
 */
public class TargetPlacement(private val random: Random) {
    private class Group(val members: List<PlacementCandidate>) {
        var slowdown = 1.0
        var limit = 0
    }

    /** Returns the chosen candidate, or null when none has a free place for such a request. */
    public fun chooseOrNull(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile?,
        gapGoalMilliseconds: Long,
        isUrgent: Boolean = false,
    ): PlacementCandidate? {
        val reachable = candidates.filter { !it.avoided && !it.target.isInClosedGroup }
        val healthy = reachable.filter { it.failures < SUSPECT_FAILURES }
        val preferred = healthy.ifEmpty { reachable }.ifEmpty { candidates }
        return if (engine == null) {
            leastLoadedOrNull(preferred)
        } else {
            val reserve = if (isUrgent) URGENT_SLOWDOWN_RESERVE else SHIFT_SLOWDOWN_RESERVE
            shortestPassOrNull(
                preferred,
                groupsOf(candidates, engine, gapGoalMilliseconds, reserve),
                engine,
            )
        }
    }

    /** Returns how many requests the [candidates] run at a time. */
    public fun slots(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile?,
        gapGoalMilliseconds: Long,
    ): Int = if (engine == null) {
        candidates.sumOf { it.target.slots }
    } else {
        groupsOf(candidates, engine, gapGoalMilliseconds, URGENT_SLOWDOWN_RESERVE).values.sumOf {
            it.limit * it.members.size
        }
    }

    /** Returns how long the passes of [members], ranks of one group, last; null when not seen. */
    public fun passTimingOrNull(
        members: List<PlacementCandidate>,
        engine: EngineProfile,
    ): PassTiming? {
        val gaps = members.mapNotNull { it.gapMilliseconds }
        if (gaps.isEmpty()) return null
        val modelled = engine.passMilliseconds(members.maxOf { it.running }.coerceAtLeast(1))
        val seen = gaps.average()
        return PassTiming(seen, (seen / modelled).coerceIn(1.0, MAX_SLOWDOWN))
    }

    private fun leastLoadedOrNull(candidates: List<PlacementCandidate>): PlacementCandidate? =
        candidates.filter { it.running < serviceLimit(it) }
            .shuffled(random)
            .minByOrNull {
                it.running.toDouble() / it.target.slots -
                    if (it.isSameDataCentre) SAME_DATA_CENTRE_BONUS else 0.0
            }

    /** A plain service queues a few requests, which costs less than a refusal. */
    private fun serviceLimit(candidate: PlacementCandidate) =
        candidate.target.slots * MAX_REQUESTS_PER_SLOT

    private fun shortestPassOrNull(
        preferred: List<PlacementCandidate>,
        groups: Map<Any, Group>,
        engine: EngineProfile,
    ): PlacementCandidate? {
        val usable = preferred.filter { it.running < groups.getValue(groupKey(it)).limit }
        return usable.shuffled(random).minByOrNull { candidate ->
            val group = groups.getValue(groupKey(candidate))
            val fullest = maxOf(group.members.maxOf { it.running }, candidate.running + 1)
            // The second term orders the ranks of one group, whose passes last equally long.
            group.slowdown * engine.passMilliseconds(fullest) +
                candidate.running * RANK_LOAD_WEIGHT * engine.stepMillisecondsPerRequest
        }
    }

    private fun groupsOf(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile,
        gapGoalMilliseconds: Long,
        reserve: Double,
    ): Map<Any, Group> = candidates.groupBy(::groupKey).mapValues { (_, members) ->
        Group(members).apply {
            slowdown = passTimingOrNull(members, engine)?.slowdown ?: 1.0
            limit = rankLimit(engine, slowdown, gapGoalMilliseconds, reserve)
        }
    }

    private fun rankLimit(
        engine: EngineProfile,
        slowdown: Double,
        gapGoalMilliseconds: Long,
        reserve: Double,
    ): Int {
        if (gapGoalMilliseconds <= 0) return engine.slots
        val allowed = gapGoalMilliseconds * minOf(GAP_GOAL_SHARE / slowdown, 1 / reserve)
        val limit = (1..engine.slots).lastOrNull { engine.passMilliseconds(it) <= allowed }
        // Where even one request misses the goal, fewer requests would not help any of them.
        return limit ?: engine.slots
    }

    private fun groupKey(candidate: PlacementCandidate): Any =
        candidate.target.seat?.group ?: candidate.target.id

    public companion object {
        /** Failures of the whole fleet in a few seconds from which a target is used last. */
        public const val SUSPECT_FAILURES: Int = 2

        /** Requests at a target of a plain service for each of its slots. */
        public const val MAX_REQUESTS_PER_SLOT: Int = 3

        /** Part of the goal for pauses that passes may take; the rest is for reading prompts. */
        public const val GAP_GOAL_SHARE: Double = 0.9

        /**
         * Slowdown of passes right after a shift of the demand. Streams that run then last on, so
         * a rank takes only as many as keep their pauses until the experts have moved.
         */
        public const val SHIFT_SLOWDOWN_RESERVE: Double = 2.6

        /**
         * Slowdown that is left room for when a request can't wait any longer: the first event
         * would be late for certain, a shift is not certain. Answers the return of many callers.
         */
        public const val URGENT_SLOWDOWN_RESERVE: Double = 1.7

        private const val MAX_SLOWDOWN = 20.0
        private const val SAME_DATA_CENTRE_BONUS = 0.1
        private const val RANK_LOAD_WEIGHT = 0.5
    }
}
