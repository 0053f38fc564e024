package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred
import org.vanilladale.core.gateway.EngineProfile
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PassTiming
import org.vanilladale.core.gateway.PauseRule
import org.vanilladale.core.gateway.PlacementCandidate
import org.vanilladale.core.gateway.PoolBacklog
import org.vanilladale.core.gateway.PriorityMix
import org.vanilladale.core.gateway.QueueingRule
import org.vanilladale.core.gateway.ServiceTimes
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.gateway.TargetPlacement
import org.vanilladale.core.gateway.Urgency
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** A slot at [target], which is now running [running] requests of all entries. */
internal class Slot(val target: KnownTarget, val running: Int)

/**
 * A request that waits for a slot at a target that is not in [tried].
 *
 * @property isContinued whether the caller has already received part of the stream, which a refusal
 *   would waste
 */
internal class Waiter(
    val request: ForwardedRequest,
    val tried: Set<TargetId>,
    val isContinued: Boolean = false,
) {
    /** The assigned slot, or null when the request was displaced by one with higher priority. */
    val slot = CompletableDeferred<Slot?>()

    /** Whether the request can no longer meet its latency goal. */
    var isLate = false

    /** Time at which the request stops waiting. */
    var waitDeadline: Deadline = request.deadline

    /** Refusal of a request that was given no slot, or null to state the usual one. */
    @Volatile
    var refusal: Refusal? = null

    /** Time by which the first event or the answer is due. */
    val goalDeadline: Deadline
        get() = request.times.firstAttemptAt.deadlineAfter(request.route.goalMilliseconds)
}

/**
 * Requests of one pool that wait or run at this entry. Not thread-safe; access it under a lock.
 *
 * @param candidates builds the placement candidates of the pool; it acquires the locks of the data
 *   that it reads
 * @param requestsWaitingAtPeers number of requests that wait at peers and are at least as urgent as
 *   a priority
 * @param moreUrgentAtPeers number of requests that wait at peers, more urgent than a priority
 * @param onAssigned called for the target of each assigned slot
 * @param callerFacingEntries number of entries that share the limits of the pool
 */
internal class PoolState(
    private val random: Random,
    private val candidates: (PoolState, Timestamp) -> List<PlacementCandidate>,
    private val requestsWaitingAtPeers: (Int) -> Int,
    private val peersWithWaitingRequests: () -> Int,
    callerFacingEntries: () -> Int = { 1 },
    private val moreUrgentAtPeers: (Int) -> Int = { 0 },
    private val onAssigned: (KnownTarget, Timestamp) -> Unit = { _, _ -> },
) {
    private val placement = TargetPlacement(random, callerFacingEntries)
    private val running = HashMap<TargetId, Int>()

    private val queues = RequestQueues()
    private val priorities = PriorityMix()
    private var averageServiceMilliseconds = 0.0

    val outcomes = TargetOutcomes()

    /** Durations of complete answers, unlike the time in a slot, which failed attempts shorten. */
    val serviceTimes = ServiceTimes()

    /** Number of requests that wait for a slot. */
    val waiting: Int get() = queues.size

    /**
     * Number of requests that wait for a slot and can meet their latency goal. Late requests are
     * left out, because they are served after these.
     */
    val waitingInTime: Int get() = queues.sizeInTime

    /** Those of each priority from 0 on; empty while all requests have one priority. */
    fun waitingByPriority(now: Timestamp): List<Int> =
        if (priorities.isMixed(now)) queues.sizes else emptyList()

    /** Targets that run requests of this entry. */
    val inUse: Set<TargetId> get() = running.keys

    fun running(target: TargetId): Int = running[target] ?: 0

    /**
     * Assigns [waiter] a slot immediately, or queues it until the returned deadline, or refuses it.
     *
     * @param pauseEnd time until which all targets of the pool ask for time, or null
     */
    fun admit(
        waiter: Waiter,
        now: Timestamp,
        pauseEnd: Deadline? = null,
    ): Either<Refusal, Deadline> {
        val request = waiter.request
        priorities.record(request.priority, now)
        val isMixed = priorities.isMixed(now)
        waiter.isLate = !waiter.isContinued &&
            waiter.goalDeadline.millisecondsLeft(now) <= firstAnswerMilliseconds(now)
        if (waitingBefore(waiter, isMixed) == 0) {
            assignOrNull(waiter, candidates(this, now), now)?.let {
                waiter.slot.complete(it)
                return request.deadline.right()
            }
        }
        val decision = if (pauseEnd != null) {
            PauseRule.decide(pauseEnd, request.deadline, now, random)
        } else if (waiter.isContinued) {
            minOf(
                now.deadlineAfter(MAX_CONTINUED_WAIT_MILLISECONDS),
                request.deadline,
                Deadline::compareTo,
            ).right()
        } else {
            val spread = if (isMixed) random.nextDouble() else 0.0
            QueueingRule.decide(backlog(waiter, isMixed, now), request.deadline, now, spread)
        }
        return decision.flatMap { waitDeadline ->
            waiter.waitDeadline = waitDeadline
            queues.offer(waiter).map {
                // During a pause no target is usable, and requests wait for its end.
                if (isMixed && pauseEnd == null) refuseOutpaced(waiter, now)
                waitDeadline
            }
        }
    }

    /** Returns the number of requests that wait here and get a slot before [waiter]. */
    private fun waitingBefore(waiter: Waiter, isMixed: Boolean): Int = when {
        isMixed && waiter.isContinued -> queues.sizeContinued

        isMixed -> queues.sizeFrom(waiter.request.priority, waiter.isLate)

        waiter.isLate -> waiting

        // Late requests that wait do not show that there is no slot for one in time.
        else -> waitingInTime
    }

    /**
     * Refuses the waiting requests that are less urgent than [arrived] and that can no longer
     * expect a slot before they stop waiting. Their callers may return sooner than if they waited
     * in vain.
     */
    private fun refuseOutpaced(arrived: Waiter, now: Timestamp) {
        val all = candidates(this, now)
        val lessUrgent = PriorityMix.levelOf(arrived.request.priority) + 1
        for (priority in PriorityMix.LEAST_URGENT downTo lessUrgent) {
            var oldest = queues.oldestOrNull(priority)
            while (oldest != null && refuseIfOutpaced(oldest, all, now)) {
                oldest = queues.oldestOrNull(priority)
            }
        }
    }

    /** Refuses [waiter], the last in its priority, if too many come before it. */
    private fun refuseIfOutpaced(
        waiter: Waiter,
        all: List<PlacementCandidate>,
        now: Timestamp,
    ): Boolean {
        val others = queues.sizeFrom(waiter.request.priority, withLate = true) - 1
        val backlog = backlogOf(waiter, others, all)
        val wait = backlog.waitMillisecondsOrNull
        if (wait != null && wait <= waiter.waitDeadline.millisecondsLeft(now)) return false
        queues.remove(waiter)
        val spread = random.nextDouble()
        waiter.refusal = QueueingRule.refusal(backlog, waiter.request.deadline, now, spread)
        waiter.slot.complete(null)
        return true
    }

    /**
     * Returns the time from sending a request to its first event or answer at a target with a free
     * slot. Under load, passes take longer, and a request that was not sent earlier than this
     * before its goal is late for certain.
     */
    private fun firstAnswerMilliseconds(now: Timestamp): Long {
        val gaps = outcomes.gaps(now)
        if (gaps.isEmpty()) return MIN_FIRST_ANSWER_MILLISECONDS
        val passes = (FIRST_ANSWER_PASSES * gaps.average()).toLong()
        return passes.coerceIn(MIN_FIRST_ANSWER_MILLISECONDS, MAX_FIRST_ANSWER_MILLISECONDS)
    }

    /** Assigns free slots to waiting requests. */
    fun fill(now: Timestamp) {
        while (true) {
            // A request stays at the head until there is a slot for it.
            var next = queues.peekOrNull(now, firstAnswerMilliseconds(now)) ?: return
            var slot = assignOrNull(next, candidates(this, now), now)
            if (slot == null) {
                // A more urgent request may use slots that are not for this one.
                next = queues.moreUrgentOrNull(now, firstAnswerMilliseconds(now)) ?: return
                slot = assignOrNull(next, candidates(this, now), now) ?: return
            }
            queues.removeHead()
            next.slot.complete(slot)
        }
    }

    /**
     * Assigns slots that peers may have released. Of the entries with waiting requests,
     * about one does so at a time, chosen at random.
     */
    fun fillAtRandom(now: Timestamp) {
        val isOwnTurn = random.nextInt(1 + peersWithWaitingRequests()) == 0
        if (waiting > 0 && isOwnTurn) fill(now)
    }

    /** Refuses the requests that stop waiting before [pauseEnd]. */
    fun refuseWaitersBefore(pauseEnd: Deadline) = refuseWaiters { it.waitDeadline <= pauseEnd }

    /** Refuses all requests that wait. */
    fun refuseAllWaiters() = refuseWaiters { true }

    private fun refuseWaiters(isRefused: (Waiter) -> Boolean) {
        queues.waiters.filter(isRefused).forEach { waiter ->
            remove(waiter)
            waiter.slot.complete(null)
        }
    }

    /** Removes [waiter] from the queues. */
    fun remove(waiter: Waiter) = queues.remove(waiter)

    /** Releases a slot at [target], held for [heldMilliseconds], or null if it was not used. */
    fun release(target: TargetId, heldMilliseconds: Long?) {
        running.computeIfPresent(target) { _, count -> (count - 1).takeIf { it > 0 } }
        if (heldMilliseconds == null) return
        averageServiceMilliseconds = if (averageServiceMilliseconds == 0.0) {
            heldMilliseconds.toDouble()
        } else {
            averageServiceMilliseconds +
                SERVICE_WEIGHT * (heldMilliseconds - averageServiceMilliseconds)
        }
    }

    /**
     * Returns the durations of the passes of [members], the ranks of one group, or null when
     * unknown.
     */
    fun passTimingOrNull(members: List<PlacementCandidate>, engine: EngineProfile): PassTiming? =
        placement.passTimingOrNull(members, engine)

    private fun assignOrNull(waiter: Waiter, all: List<PlacementCandidate>, now: Timestamp): Slot? {
        val request = waiter.request
        val untried = all.filter { it.target.id !in waiter.tried && !it.isOnTrial }
        val chosen = placement.chooseOrNull(
            untried,
            request.pool.engine,
            request.route.gapGoalMilliseconds,
            urgencyOf(waiter, now),
        ) ?: return null
        running.merge(chosen.target.id, 1, Int::plus)
        onAssigned(chosen.target, now)
        request.statesPriority = priorities.isMixed(now)
        return Slot(chosen.target, chosen.running + 1)
    }

    /**
     * Returns how far [waiter] may fill the groups.
     *
     * A request that is late anyway gets what the requests that can meet their goal leave, also
     * those at other entries. Requests that would wait too long for their goal may use most of the
     * reserve for a shift of the demand, because the next shift may be far away.
     *
     * While requests of several priorities compete, the most urgent ones may use that reserve at
     * once, also when they are late, and the others leave part of it to them. While more urgent
     * requests wait at peers, the others may not use the reserve at all.
     */
    private fun urgencyOf(waiter: Waiter, now: Timestamp): Urgency {
        val urgentFrom = waiter.request.arrivedAt.deadlineAfter(URGENT_AFTER_MILLISECONDS)
        val isPressed = waitingInTime > 1 || urgentFrom.hasPassed(now)
        val priority = PriorityMix.levelOf(waiter.request.priority)
        return when {
            waiter.isContinued -> Urgency.INTERRUPTED

            !priorities.isMixed(now) -> when {
                waiter.isLate -> Urgency.LATE
                isPressed -> Urgency.URGENT
                else -> Urgency.NORMAL
            }

            priorities.isMostUrgent(priority, now) -> Urgency.URGENT

            isPressed && moreUrgentAtPeers(priority) == 0 -> Urgency.YIELDING

            else -> Urgency.BACKGROUND
        }
    }

    private fun backlog(waiter: Waiter, isMixed: Boolean, now: Timestamp): PoolBacklog {
        val before = waitingBefore(waiter, isMixed)
        val priority = if (isMixed) waiter.request.priority else PriorityMix.LEAST_URGENT
        return backlogOf(waiter, before, candidates(this, now), priority)
    }

    /** Returns the load of the pool for [waiter] with [before] requests before it here. */
    private fun backlogOf(
        waiter: Waiter,
        before: Int,
        all: List<PlacementCandidate>,
        priority: Int = waiter.request.priority,
    ): PoolBacklog {
        val request = waiter.request
        val slots = placement.slots(all, request.pool.engine, request.route.gapGoalMilliseconds)
        return PoolBacklog(
            before + requestsWaitingAtPeers(PriorityMix.levelOf(priority)),
            slots,
            expectedServiceMilliseconds(request.pool),
        )
    }

    /** Returns the average time for which a request occupies its slot. */
    fun expectedServiceMilliseconds(pool: GatewayPool): Double = when {
        averageServiceMilliseconds > 0 -> averageServiceMilliseconds
        pool.engine != null -> pool.engine!!.let { it.meanRequestMilliseconds(it.slots) }
        else -> DEFAULT_SERVICE_MILLISECONDS
    }

    private companion object {
        const val SERVICE_WEIGHT = 0.1

        /**
         * Time from sending a request to the first event or the answer of a target with a free
         * slot and little load.
         */
        const val MIN_FIRST_ANSWER_MILLISECONDS = 180L

        /** Passes until the first event: one that reads the prompt, one that decodes, a part. */
        const val FIRST_ANSWER_PASSES = 2.4

        /** While a group is slower than this, few requests meet their goal anyway. */
        const val MAX_FIRST_ANSWER_MILLISECONDS = 450L

        /**
         * Callers abandon a stream two seconds after its last event. Most of that time has passed
         * when a target is considered silent.
         */
        const val MAX_CONTINUED_WAIT_MILLISECONDS = 700L

        /**
         * After this wait, the first event needs most of the time that is left of a usual goal of
         * 500 ms.
         */
        const val URGENT_AFTER_MILLISECONDS = 150L

        /** Assumed service time of a plain service before its first answer. */
        const val DEFAULT_SERVICE_MILLISECONDS = 30.0
    }
}
