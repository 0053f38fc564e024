package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.CompletableDeferred
import org.vanilladale.core.admission.FairQueue
import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.core.gateway.EngineProfile
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PassTiming
import org.vanilladale.core.gateway.PauseRule
import org.vanilladale.core.gateway.PlacementCandidate
import org.vanilladale.core.gateway.PoolBacklog
import org.vanilladale.core.gateway.QueueingRule
import org.vanilladale.core.gateway.ServiceTimes
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.gateway.TargetPlacement
import org.vanilladale.core.gateway.Urgency
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

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
}

/**
 * Requests of one pool that wait or run at this entry. Not thread-safe; access it under a lock.
 *
 * @param candidates builds the placement candidates of the pool; it acquires the locks of the data
 *   that it reads
 * @param onAssigned called for the target of each assigned slot
 * @param callerFacingEntries number of entries that share the limits of the pool
 */
internal class PoolState(
    private val random: Random,
    private val candidates: (PoolState, Timestamp) -> List<PlacementCandidate>,
    private val requestsWaitingAtPeers: () -> Int,
    private val peersWithWaitingRequests: () -> Int,
    callerFacingEntries: () -> Int = { 1 },
    private val onAssigned: (KnownTarget, Timestamp) -> Unit = { _, _ -> },
) {
    private val placement = TargetPlacement(random, callerFacingEntries)
    private val running = HashMap<TargetId, Int>()

    /**
     * Streams that were interrupted at a target. Their callers disconnect soon unless another event
     * arrives.
     */
    private val continued = FairQueue<Waiter>(MAX_WAITING)

    /** Requests whose answer can still arrive within the latency goal of their route. */
    private val fresh = FairQueue<Waiter>(MAX_WAITING, newestFirst = true)

    /**
     * Requests that can no longer meet their latency goal. They get the slots that fresh requests
     * leave free.
     */
    private val late = FairQueue<Waiter>(MAX_WAITING, newestFirst = true)

    /** Next request to be assigned, already taken from its queue. */
    private var head: Waiter? = null
    private var averageServiceMilliseconds = 0.0

    val outcomes = TargetOutcomes()

    /** Durations of complete answers, unlike the time in a slot, which failed attempts shorten. */
    val serviceTimes = ServiceTimes()

    /** Number of requests that wait for a slot. */
    val waiting: Int
        get() = continued.size + fresh.size + late.size + if (head == null) 0 else 1

    /**
     * Number of requests that wait for a slot and can meet their latency goal. Late requests are
     * left out, because they are served after these.
     */
    val waitingInTime: Int
        get() = continued.size + fresh.size + if (head?.isLate == false) 1 else 0

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
        waiter.isLate = !waiter.isContinued &&
            goalDeadlineOf(request).millisecondsLeft(now) <= firstAnswerMilliseconds(now)
        // Late requests that wait do not show that there is no slot for one in time.
        val waitingBefore = if (waiter.isLate) waiting else waitingInTime
        if (waitingBefore == 0) {
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
            QueueingRule.decide(backlog(waiter, now), request.deadline, now)
        }
        return decision.flatMap { waitDeadline ->
            waiter.waitDeadline = waitDeadline
            // The head goes back to its queue, where newer requests come first.
            head?.let { earlier -> enqueue(earlier).onLeft { earlier.slot.complete(null) } }
            head = null
            enqueue(waiter).map { waitDeadline }
        }
    }

    private fun enqueue(waiter: Waiter): Either<Refusal, Unit> {
        if (waiter.isContinued) return enqueue(continued, waiter, waiter.waitDeadline)
        if (waiter.isLate) return enqueue(late, waiter, waiter.waitDeadline)
        val deadline =
            minOf(goalDeadlineOf(waiter.request), waiter.waitDeadline, Deadline::compareTo)
        return enqueue(fresh, waiter, deadline)
    }

    private fun goalDeadlineOf(request: ForwardedRequest): Deadline =
        request.times.firstAttemptAt.deadlineAfter(request.route.goalMilliseconds)

    private fun enqueue(queue: FairQueue<Waiter>, waiter: Waiter, deadline: Deadline) = queue.offer(
        QueuedRequest(
            waiter,
            waiter.request.workspace?.id ?: NO_WORKSPACE,
            (MAX_URGENCY - waiter.request.priority).coerceIn(0, MAX_URGENCY),
            deadline,
        ),
    ).map { displaced ->
        displaced?.key?.slot?.complete(null)
        Unit
    }

    /** Returns the next waiter: a continued stream first, then a fresh request, then a late one. */
    private fun nextOrNull(now: Timestamp): Waiter? {
        continued.poll(now).next?.let { return it.key }
        val polled = fresh.poll(now, firstAnswerMilliseconds(now))
        polled.shed.forEach { shed ->
            shed.key.isLate = true
            enqueue(late, shed.key, shed.key.waitDeadline).onLeft { shed.key.slot.complete(null) }
        }
        // A waiter past its deadline is refused by the timeout in its own coroutine.
        return (polled.next ?: late.poll(now).next)?.key
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
            val next = head ?: nextOrNull(now) ?: return
            // A request stays at the head until there is a slot for it.
            head = next
            val slot = assignOrNull(next, candidates(this, now), now) ?: return
            head = null
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
        val waiters = continued.keys + fresh.keys + late.keys + listOfNotNull(head)
        waiters.filter(isRefused).forEach { waiter ->
            remove(waiter)
            waiter.slot.complete(null)
        }
    }

    /** Removes [waiter] from the queues. */
    fun remove(waiter: Waiter) {
        if (head === waiter) head = null
        continued.remove(waiter)
        fresh.remove(waiter)
        late.remove(waiter)
    }

    /** Releases a slot at [target] that was held for [heldMilliseconds]. */
    fun release(target: TargetId, heldMilliseconds: Long) {
        running.computeIfPresent(target) { _, count -> (count - 1).takeIf { it > 0 } }
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
        return Slot(chosen.target, chosen.running + 1)
    }

    /**
     * Returns how far [waiter] may fill the groups.
     *
     * A request that is late anyway gets what the requests that can meet their goal leave, also
     * those at other entries. Requests that would wait too long for their goal may use most of the
     * reserve for a shift of the demand, because the next shift may be far away.
     */
    private fun urgencyOf(waiter: Waiter, now: Timestamp): Urgency {
        val urgentFrom = waiter.request.arrivedAt.deadlineAfter(URGENT_AFTER_MILLISECONDS)
        return when {
            waiter.isContinued -> Urgency.INTERRUPTED
            waiter.isLate -> Urgency.LATE
            waitingInTime > 1 || urgentFrom.hasPassed(now) -> Urgency.URGENT
            else -> Urgency.NORMAL
        }
    }

    private fun backlog(waiter: Waiter, now: Timestamp): PoolBacklog {
        val request = waiter.request
        val all = candidates(this, now)
        val slots = placement.slots(all, request.pool.engine, request.route.gapGoalMilliseconds)
        return PoolBacklog(
            (if (waiter.isLate) waiting else waitingInTime) + requestsWaitingAtPeers(),
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
        /** Bounds memory. [QueueingRule] admits far fewer requests. */
        const val MAX_WAITING = 1_024
        const val MAX_URGENCY = 9
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
        val NO_WORKSPACE = WorkspaceId.parse("-")
    }
}
