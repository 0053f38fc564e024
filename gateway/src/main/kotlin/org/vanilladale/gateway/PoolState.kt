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
import org.vanilladale.core.gateway.GroupPasses
import org.vanilladale.core.gateway.HoldRule
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PlacementCandidate
import org.vanilladale.core.gateway.PoolBacklog
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.gateway.TargetPlacement
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/** A place at [target], among [running] requests of all entries. */
internal class Slot(val target: KnownTarget, val running: Int)

/**
 * A request that waits for a place at a target that it has not [tried].
 *
 * @property isContinued whether its caller holds a part of the stream, which is lost with a refusal
 */
internal class Waiter(
    val request: ForwardedRequest,
    val tried: Set<TargetId>,
    val isContinued: Boolean = false,
) {
    /** The place, or null when a request with a better claim took this one's turn. */
    val place = CompletableDeferred<Slot?>()

    /** Time until which the request waits. */
    var until: Deadline = request.deadline
}

/**
 * Requests of one pool that wait or run at this entry. Keep it under a lock.
 *
 * @param candidates builds the candidates of the pool; it reads other state under their locks
 */
internal class PoolState(
    private val random: Random,
    private val candidates: (PoolState, Timestamp) -> List<PlacementCandidate>,
    private val peersWaiting: () -> Int,
    private val peersWithWaiting: () -> Int,
) {
    private val placement = TargetPlacement(random)
    private val running = HashMap<TargetId, Int>()

    /** Streams that broke off at a target; their callers leave soon without a further event. */
    private val continued = FairQueue<Waiter>(MOST_WAITING)

    /** Requests whose answer can still come within the goal of their route. */
    private val fresh = FairQueue<Waiter>(MOST_WAITING, newestFirst = true)

    /** Requests that are late whatever happens; they take the places that fresh ones leave. */
    private val late = FairQueue<Waiter>(MOST_WAITING, newestFirst = true)

    /** Request that is next in turn. */
    private var head: Waiter? = null
    private var serviceMilliseconds = 0.0

    val outcomes = TargetOutcomes()

    /** Requests that wait for a place. */
    val waiting: Int
        get() = continued.size + fresh.size + late.size + if (head == null) 0 else 1

    /** Targets with requests of this entry. */
    val inUse: Set<TargetId> get() = running.keys

    fun running(target: TargetId): Int = running[target] ?: 0

    /** Places [waiter] at once or queues it until the returned deadline, or refuses it. */
    fun admit(waiter: Waiter, now: Timestamp): Either<Refusal, Deadline> {
        val request = waiter.request
        if (waiting == 0) {
            place(waiter, candidates(this, now), now)?.let {
                waiter.place.complete(it)
                return request.deadline.right()
            }
        }
        val decision = if (waiter.isContinued) {
            minOf(
                now.deadlineAfter(CONTINUE_MILLISECONDS),
                request.deadline,
                Deadline::compareTo,
            ).right()
        } else {
            HoldRule.decide(backlog(request, now), request.deadline, now)
        }
        return decision.flatMap { until ->
            waiter.until = until
            // A newer request goes before the one whose turn it was.
            head?.let { earlier -> enqueue(earlier).onLeft { earlier.place.complete(null) } }
            head = null
            enqueue(waiter).map { until }
        }
    }

    private fun enqueue(waiter: Waiter): Either<Refusal, Unit> {
        if (waiter.isContinued) return enqueue(continued, waiter, waiter.until)
        val freshUntil = waiter.request.arrivedAt
            .deadlineAfter(waiter.request.route.goalMilliseconds - FIRST_ANSWER_MILLISECONDS)
        return enqueue(fresh, waiter, minOf(freshUntil, waiter.until, Deadline::compareTo))
    }

    private fun enqueue(queue: FairQueue<Waiter>, waiter: Waiter, deadline: Deadline) = queue.offer(
        QueuedRequest(
            waiter,
            waiter.request.workspace?.id ?: NO_WORKSPACE,
            (MOST_URGENT - waiter.request.priority).coerceIn(0, MOST_URGENT),
            deadline,
        ),
    ).map { displaced ->
        displaced?.key?.place?.complete(null)
        Unit
    }

    /** Returns the next waiter, a fresh one if there is any. */
    private fun nextOrNull(now: Timestamp): Waiter? {
        continued.poll(now).next?.let { return it.key }
        val polled = fresh.poll(now)
        polled.shed.forEach { shed ->
            enqueue(late, shed.key, shed.key.until).onLeft { shed.key.place.complete(null) }
        }
        // An overdue waiter refuses itself when its own timer fires.
        return (polled.next ?: late.poll(now).next)?.key
    }

    /** Gives free places to waiting requests. */
    fun fill(now: Timestamp) {
        while (true) {
            val next = head ?: nextOrNull(now) ?: return
            // A request for which there is no place yet keeps its turn.
            head = next
            val place = place(next, candidates(this, now), now) ?: return
            head = null
            next.place.complete(place)
        }
    }

    /** Gives places that peers may have freed; waiting entries share them by chance. */
    fun fillByChance(now: Timestamp) {
        if (waiting > 0 && random.nextInt(1 + peersWithWaiting()) == 0) fill(now)
    }

    /** Takes [waiter] out of the queue. */
    fun remove(waiter: Waiter) {
        if (head === waiter) head = null
        continued.remove(waiter)
        fresh.remove(waiter)
        late.remove(waiter)
    }

    /** Frees a place at [target] that was held for [heldMilliseconds]. */
    fun release(target: TargetId, heldMilliseconds: Long) {
        running.computeIfPresent(target) { _, count -> (count - 1).takeIf { it > 0 } }
        serviceMilliseconds = if (serviceMilliseconds == 0.0) {
            heldMilliseconds.toDouble()
        } else {
            serviceMilliseconds + SERVICE_WEIGHT * (heldMilliseconds - serviceMilliseconds)
        }
    }

    /** Returns how long the passes of [members], ranks of one group, last; null when not seen. */
    fun passesOrNull(members: List<PlacementCandidate>, engine: EngineProfile): GroupPasses? =
        placement.passesOrNull(members, engine)

    private fun place(waiter: Waiter, all: List<PlacementCandidate>, now: Timestamp): Slot? {
        val request = waiter.request
        val untried = all.filter { it.target.id !in waiter.tried }
        val chosen = placement.chooseOrNull(
            untried,
            request.pool.engine,
            request.route.gapGoalMilliseconds,
            isUrgent = waiter.isContinued || waiting > 1 ||
                request.arrivedAt.deadlineAfter(PATIENCE_MILLISECONDS).hasPassed(now),
        ) ?: return null
        running.merge(chosen.target.id, 1, Int::plus)
        return Slot(chosen.target, chosen.running + 1)
    }

    private fun backlog(request: ForwardedRequest, now: Timestamp): PoolBacklog {
        val all = candidates(this, now)
        val places = placement.places(all, request.pool.engine, request.route.gapGoalMilliseconds)
        return PoolBacklog(waiting + peersWaiting(), places, service(request.pool))
    }

    private fun service(pool: GatewayPool): Double = when {
        serviceMilliseconds > 0 -> serviceMilliseconds
        pool.engine != null -> pool.engine!!.let { it.usualMilliseconds(it.slots) }
        else -> USUAL_SERVICE_MILLISECONDS
    }

    private companion object {
        /** Far above what the hold rule admits; bounds memory. */
        const val MOST_WAITING = 1_024
        const val MOST_URGENT = 9
        const val SERVICE_WEIGHT = 0.1

        /** Time from the send to the first event or the answer of a target that has a place. */
        const val FIRST_ANSWER_MILLISECONDS = 180L

        /**
         * Callers leave a stream two seconds after its last event; most of that has passed when a
         * silent target is given up.
         */
        const val CONTINUE_MILLISECONDS = 700L

        /** Wait after which a first event needs most of the rest of a usual goal of 500 ms. */
        const val PATIENCE_MILLISECONDS = 150L

        /** Service time of a plain service before the first answer. */
        const val USUAL_SERVICE_MILLISECONDS = 30.0
        val NO_WORKSPACE = WorkspaceId.parse("-")
    }
}
