package org.vanilladale.core.gateway

import kotlin.random.Random

/**
 * A target that a request may be sent to.
 *
 * @property running number of requests that all entries together have in flight at the target
 * @property ownRunning number of those that this entry has in flight
 * @property failures number of recent failed attempts of all entries
 * @property gapMilliseconds gap between stream events that entries observe at the target; null if
 *   there is no recent one
 * @property avoided whether this entry recently could not reach the target
 * @property isSameDataCentre whether the target is in the data centre of this entry
 * @property isHome whether this entry prefers the target to others; see [HomeTargets]
 * @property isRecovering whether a pause that the target asked for ended a short time ago
 * @property isHeld whether the target gets no request of this entry at present, because it is cold
 */
public data class PlacementCandidate(
    val target: KnownTarget,
    val running: Int,
    val failures: Int,
    val gapMilliseconds: Double?,
    val avoided: Boolean,
    val isSameDataCentre: Boolean,
    val isHome: Boolean = false,
    val ownRunning: Int = 0,
    val isRecovering: Boolean = false,
    val isHeld: Boolean = false,
) {
    /** True if one request of this entry is to show first whether the target is well again. */
    val isOnTrial: Boolean get() = isRecovering && ownRunning > 0
}

/** How far a request may fill the groups of a pool. */
public enum class Urgency {
    /** In a large fleet only as far as others leave room, because the request is late anyway. */
    LATE,

    /** As far as the gaps between events meet their goal, also after a shift of the demand. */
    NORMAL,

    /** Like [NORMAL], but leaves the same room to more urgent requests as [YIELDING]. */
    BACKGROUND,

    /**
     * Into part of the reserve for a shift of the demand. The rest is left to more urgent requests,
     * which would otherwise find no slot in a burst of less urgent ones.
     */
    YIELDING,

    /** Into most of the reserve for a shift of the demand. */
    URGENT,

    /** As far as there are slots, because a stream breaks off if it does not go on soon. */
    INTERRUPTED,
}

/**
 * Chooses the target of an attempt, under steady load as well as in bursts of streams.
 *
 * All ranks of a group run each pass together; see [PassModel]. A request goes to the group with
 * the shortest predicted pass, and there to the least loaded rank. The number of requests of a
 * group is limited so that the gaps between events meet the goal of the route, with a reserve
 * because passes take longer after a shift of the demand. An urgent request may use most of that
 * reserve.
 *
 * In a large fleet each entry fills its own share of that limit, whose use it knows exactly. If all
 * entries filled up to the limit by the outdated loads of the others, they would exceed it
 * together. An entry with more callers than others may exceed its share while a good part of the
 * limit is free. Late requests get only that part, since some entry has others that can be in time.
 * In a small fleet that would refuse late requests for slots that stay free.
 *
 * If each entry of a large fleet chose the least loaded rank, all of them would choose the same,
 * and its queue would hold requests for seconds. The same happens under overload, when each entry
 * has requests for the few ranks that seem to have a free slot. There an entry compares only its
 * home ranks, whose load is mostly its own, and two others, which are drawn from all of them
 * whether they have a free slot or not. The last slot of a rank is left to its home entry.
 */
public class TargetPlacement(private val random: Random, private val entries: () -> Int = { 1 }) {
    private class Group(
        val members: List<PlacementCandidate>,
        val model: PassModel,
        val skew: Double,
        val limit: Int,
        engine: EngineProfile,
    ) {
        val running = members.sumOf { it.running }
        private val fullest = members.maxOf { it.running }
        private val maxPerRank = engine.slots

        fun hasSlot(candidate: PlacementCandidate, reservedSlots: Int) =
            running < limit && candidate.running + reservedSlots < maxPerRank

        /** Predicted duration of a pass with one more request at [candidate]. */
        fun passMillisecondsWith(candidate: PlacementCandidate): Double {
            val load = GroupLoad(
                maxOf(fullest, candidate.running + 1),
                (running + 1.0) / members.size,
            )
            return model.milliseconds(load, skew)
        }
    }

    /** Returns the chosen candidate, or null if none has a free slot for such a request. */
    public fun chooseOrNull(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile?,
        gapGoalMilliseconds: Long,
        urgency: Urgency = Urgency.NORMAL,
    ): PlacementCandidate? {
        val open = candidates.filter { !it.isHeld }
        if (open.isEmpty()) return null
        val reachable = open.filter { !it.avoided && !it.target.isInClosedGroup }
        val healthy = reachable.filter { it.failures < SUSPECT_FAILURES }
        val preferred = healthy.ifEmpty { reachable }.ifEmpty { open }
        return if (engine == null) {
            leastLoadedOrNull(preferred)
        } else {
            shortestPassOrNull(
                preferred,
                groupsOf(candidates, engine, gapGoalMilliseconds, urgency),
                engine,
                urgency,
            )
        }
    }

    /** Returns whether this entry may place another request within the limits of [groups]. */
    private fun hasShare(groups: Collection<Group>, urgency: Urgency): Boolean {
        val limit = groups.sumOf { it.limit }
        val own = groups.sumOf { group -> group.members.sumOf { it.ownRunning } }
        val hasOwnShare = own < limit / entries().coerceAtLeast(1)
        return urgency == Urgency.INTERRUPTED ||
            urgency != Urgency.LATE && hasOwnShare ||
            groups.sumOf { it.running } < limit * SHARED_PART_OF_LIMIT
    }

    /** Returns the number of requests that [candidates] together run at a time. */
    public fun slots(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile?,
        gapGoalMilliseconds: Long,
    ): Int = if (engine == null) {
        candidates.sumOf { it.target.slots }
    } else {
        groupsOf(candidates, engine, gapGoalMilliseconds, Urgency.URGENT).values
            .sumOf { it.limit }
    }

    /** Returns the timing of the passes of [members], the ranks of a group; null without gaps. */
    public fun passTimingOrNull(
        members: List<PlacementCandidate>,
        engine: EngineProfile,
    ): PassTiming? {
        val gaps = members.mapNotNull { it.gapMilliseconds }
        if (gaps.isEmpty()) return null
        val seen = gaps.average()
        val balanced = PassModel(engine).milliseconds(loadOf(members, engine))
        return PassTiming(seen, (seen / balanced).coerceIn(1.0, MAX_SLOWDOWN))
    }

    /** Returns the skew of the demand at the ranks [members] of a group; 1 without gaps. */
    private fun skewOf(members: List<PlacementCandidate>, engine: EngineProfile): Double {
        val gaps = members.mapNotNull { it.gapMilliseconds }
        if (gaps.isEmpty()) return 1.0
        return PassModel(engine).skew(gaps.average(), loadOf(members, engine))
    }

    private fun loadOf(members: List<PlacementCandidate>, engine: EngineProfile) =
        GroupLoad.of(members.map { it.running }, engine.slots)

    private fun leastLoadedOrNull(candidates: List<PlacementCandidate>): PlacementCandidate? =
        candidates.filter { it.running < serviceLimit(it) }
            .shuffled(random)
            .minByOrNull {
                it.running.toDouble() / it.target.slots -
                    if (it.isSameDataCentre) SAME_DATA_CENTRE_BONUS else 0.0
            }

    /** A plain service may queue a few requests, because that costs less than a refusal. */
    private fun serviceLimit(candidate: PlacementCandidate) =
        candidate.target.slots * MAX_REQUESTS_PER_SLOT

    private fun shortestPassOrNull(
        preferred: List<PlacementCandidate>,
        groups: Map<Any, Group>,
        engine: EngineProfile,
        urgency: Urgency,
    ): PlacementCandidate? {
        fun cost(candidate: PlacementCandidate): Double =
            groups.getValue(groupKey(candidate)).passMillisecondsWith(candidate) +
                // The passes of all ranks of a group take equally long; this orders them.
                candidate.running * RANK_LOAD_WEIGHT * engine.stepMillisecondsPerRequest

        fun bestOrNull(compared: List<PlacementCandidate>, reservedSlots: Int) = compared
            .filter { groups.getValue(groupKey(it)).hasSlot(it, reservedSlots) }
            .shuffled(random)
            .minByOrNull(::cost)

        if (preferred.size <= MAX_COMPARED) return bestOrNull(preferred, reservedSlots = 0)
        if (!hasShare(groups.values, urgency)) return null
        val (home, away) = preferred.partition { it.isHome }
        // Drawn before their load is looked at. Otherwise all entries would draw from the same few.
        val drawn = if (away.isEmpty()) away else List(RANDOM_CHOICES) { away.random(random) }
        val bestHome = bestOrNull(home, reservedSlots = 0)
        val bestAway = bestOrNull(drawn, reservedSlots = 1)
        val isHomeFuller = bestHome != null && bestAway != null &&
            bestHome.running > bestAway.running + HOME_PREFERENCE
        return if (bestHome == null || isHomeFuller) bestAway else bestHome
    }

    private fun groupsOf(
        candidates: List<PlacementCandidate>,
        engine: EngineProfile,
        gapGoalMilliseconds: Long,
        urgency: Urgency,
    ): Map<Any, Group> = candidates.groupBy(::groupKey).mapValues { (_, members) ->
        val isSmallFleet = candidates.size <= MAX_COMPARED
        val skew = skewOf(members, engine)
        val limit = when (urgency) {
            Urgency.INTERRUPTED -> engine.slots.toDouble()

            Urgency.URGENT ->
                requestLimit(engine, skew, gapGoalMilliseconds, URGENT_SKEW_RESERVE)

            Urgency.YIELDING ->
                SHARED_PART_OF_LIMIT *
                    requestLimit(engine, skew, gapGoalMilliseconds, URGENT_SKEW_RESERVE)

            Urgency.BACKGROUND -> minOf(
                requestLimit(engine, skew, gapGoalMilliseconds, SHIFT_SKEW_RESERVE),
                SHARED_PART_OF_LIMIT *
                    requestLimit(engine, skew, gapGoalMilliseconds, URGENT_SKEW_RESERVE),
            )

            Urgency.LATE -> {
                val reserve =
                    if (isSmallFleet) URGENT_SKEW_RESERVE else SHIFT_SKEW_RESERVE
                requestLimit(engine, skew, gapGoalMilliseconds, reserve)
            }

            Urgency.NORMAL ->
                requestLimit(engine, skew, gapGoalMilliseconds, SHIFT_SKEW_RESERVE)
        }
        Group(members, PassModel(engine), skew, (limit * members.size).toInt(), engine)
    }

    /** Returns the maximum number of requests per rank of a group. */
    private fun requestLimit(
        engine: EngineProfile,
        skew: Double,
        gapGoalMilliseconds: Long,
        reserve: Double,
    ): Double {
        val all = engine.slots.toDouble()
        if (gapGoalMilliseconds <= 0) return all
        val model = PassModel(engine)
        // If even a single request misses the goal, a lower limit would not help any request.
        val now = model.maxMeanOrNull(gapGoalMilliseconds * GAP_GOAL_SHARE, skew) ?: return all
        val afterShift =
            model.maxMeanOrNull(gapGoalMilliseconds / COPY_SLOWDOWN, reserve) ?: return all
        return minOf(now, afterShift)
    }

    private fun groupKey(candidate: PlacementCandidate): Any =
        candidate.target.seat?.group ?: candidate.target.id

    public companion object {
        /**
         * Number of recent failures of all entries from which a target is used only as a last
         * resort.
         */
        public const val SUSPECT_FAILURES: Int = 2

        /** Maximum number of requests, running and queued, per slot of a plain service. */
        public const val MAX_REQUESTS_PER_SLOT: Int = 3

        /** Share of the gap goal that a pass may take; the rest covers variations. */
        public const val GAP_GOAL_SHARE: Double = 0.95

        /** Factor by which passes take longer while ranks load experts; the platform states it. */
        public const val COPY_SLOWDOWN: Double = 1.15

        /**
         * Skew of the demand right after a shift, over all sets of layers. Running streams continue
         * through a shift, so a group takes only as many requests as meet the gap goal at this
         * skew, until the experts have moved.
         */
        public const val SHIFT_SKEW_RESERVE: Double = 2.2

        /**
         * Skew that an urgent request leaves room for. It is smaller than [SHIFT_SKEW_RESERVE],
         * because such a request would be late for certain if it waited, whereas a shift may not
         * happen at all. This matters when many callers return at once.
         */
        public const val URGENT_SKEW_RESERVE: Double = 1.7

        /**
         * Part of the limit that entries may fill beyond their shares. The rest covers what other
         * entries place before they hear of it.
         */
        private const val SHARED_PART_OF_LIMIT = 0.85

        /** Number of targets up to which the loads are reported often enough to compare all. */
        private const val MAX_COMPARED = 32

        /** Random candidates beside the home ranks; two avoid most of the fuller ones. */
        private const val RANDOM_CHOICES = 2

        /** Requests that a home rank may have more than another one and still be preferred. */
        private const val HOME_PREFERENCE = 1
        private const val MAX_SLOWDOWN = 20.0
        private const val SAME_DATA_CENTRE_BONUS = 0.1
        private const val RANK_LOAD_WEIGHT = 0.5
    }
}
