package org.vanilladale.gateway

import arrow.core.Either
import org.vanilladale.core.admission.FairQueue
import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.core.gateway.PriorityMix
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.WorkspaceId

/**
 * Requests of a pool that wait for a slot, in the order in which they get one. Not thread-safe.
 *
 * Interrupted streams come first. Among the others, a more urgent request comes before a less
 * urgent one, and one that can meet its goal before a late one of the same priority. So that no
 * priority starves, a priority with requests in time is passed over about [MAX_PASSED_OVER] times
 * in a row at most.
 */
internal class RequestQueues {
    /**
     * Streams that were interrupted at a target. Their callers disconnect soon unless another event
     * arrives.
     */
    private val continued = FairQueue<Waiter>(MAX_WAITING)

    /** Requests whose answer can still arrive within the latency goal of their route. */
    private val fresh = FairQueue<Waiter>(MAX_WAITING, newestFirst = true)

    /**
     * Requests that can no longer meet their latency goal. Among requests of one priority they get
     * the slots that fresh requests leave free.
     */
    private val late = FairQueue<Waiter>(MAX_WAITING, newestFirst = true)

    /** Next request to be assigned, already taken from its queue. */
    private var head: Waiter? = null

    /** Number of late requests in a row that passed over a fresh one. */
    private var freshPassedOver = 0

    /** Number of requests that wait. */
    val size: Int get() = continued.size + fresh.size + late.size + if (head == null) 0 else 1

    /** Number of requests that wait and can meet their latency goal. */
    val sizeInTime: Int
        get() = continued.size + fresh.size + if (head?.isLate == false) 1 else 0

    /** All requests that wait. */
    val waiters: List<Waiter>
        get() = continued.keys + fresh.keys + late.keys + listOfNotNull(head)

    /** Number of interrupted streams that wait. */
    val sizeContinued: Int
        get() = continued.size + if (head?.isContinued == true) 1 else 0

    /** Number of waiting requests of each priority from 0 on; interrupted streams count as 0. */
    val sizes: List<Int>
        get() = List(PriorityMix.PRIORITIES) { level ->
            sizeAt(level, withLate = true) + if (level == 0) sizeContinued else 0
        }

    /**
     * Returns the number of waiting requests that are at least as urgent as [priority]. Late ones
     * count if they are more urgent, or if [withLate] is true.
     */
    fun sizeFrom(priority: Int, withLate: Boolean): Int {
        val level = PriorityMix.levelOf(priority)
        return sizeContinued + (0 until level).sumOf { sizeAt(it, withLate = true) } +
            sizeAt(level, withLate)
    }

    /** Returns the request of [priority] that has waited longest, or null if none waits. */
    fun oldestOrNull(priority: Int): Waiter? {
        val queued = PriorityMix.LEAST_URGENT - PriorityMix.levelOf(priority)
        return (late.oldestOrNull(queued) ?: fresh.oldestOrNull(queued))?.key
    }

    /** Adds [waiter], or returns its refusal if the queue is full. */
    fun offer(waiter: Waiter): Either<Refusal, Unit> {
        // The head goes back to its queue, where newer requests come first.
        head?.let { earlier -> enqueue(earlier).onLeft { earlier.slot.complete(null) } }
        head = null
        return enqueue(waiter)
    }

    /**
     * Returns the next request without removing it.
     *
     * @param firstAnswerMilliseconds time that a request in time needs until its first answer
     */
    fun peekOrNull(now: Timestamp, firstAnswerMilliseconds: Long): Waiter? =
        (head ?: nextOrNull(now, firstAnswerMilliseconds)).also { head = it }

    /**
     * Puts the request that [peekOrNull] returned back and returns one that is more urgent, without
     * removing it, or null if there is none.
     */
    fun moreUrgentOrNull(now: Timestamp, firstAnswerMilliseconds: Long): Waiter? {
        val current = head?.takeUnless { it.isContinued } ?: return null
        val highest =
            maxOf(fresh.highestPriorityOrNull ?: NONE, late.highestPriorityOrNull ?: NONE)
        if (highest <= queuedPriority(current)) return null
        head = null
        enqueue(current).onLeft { current.slot.complete(null) }
        return peekOrNull(now, firstAnswerMilliseconds)?.takeIf { it !== current }
    }

    private fun queuedPriority(waiter: Waiter): Int =
        PriorityMix.LEAST_URGENT - PriorityMix.levelOf(waiter.request.priority)

    /** Removes the request that [peekOrNull] or [moreUrgentOrNull] returned. */
    fun removeHead() {
        head = null
    }

    /** Removes [waiter]. */
    fun remove(waiter: Waiter) {
        if (head === waiter) head = null
        continued.remove(waiter)
        fresh.remove(waiter)
        late.remove(waiter)
    }

    private fun sizeAt(level: Int, withLate: Boolean): Int {
        val queued = PriorityMix.LEAST_URGENT - level
        val isHeadCounted = head?.let {
            !it.isContinued && PriorityMix.levelOf(it.request.priority) == level &&
                (withLate || !it.isLate)
        } == true
        return fresh.sizeAt(queued) + (if (withLate) late.sizeAt(queued) else 0) +
            if (isHeadCounted) 1 else 0
    }

    private fun enqueue(waiter: Waiter): Either<Refusal, Unit> {
        if (waiter.isContinued) return enqueue(continued, waiter, waiter.waitDeadline)
        if (waiter.isLate) return enqueue(late, waiter, waiter.waitDeadline)
        val deadline = minOf(waiter.goalDeadline, waiter.waitDeadline, Deadline::compareTo)
        return enqueue(fresh, waiter, deadline)
    }

    private fun enqueue(queue: FairQueue<Waiter>, waiter: Waiter, deadline: Deadline) = queue.offer(
        QueuedRequest(
            waiter,
            waiter.request.workspace?.id ?: NO_WORKSPACE,
            queuedPriority(waiter),
            deadline,
        ),
    ).map { displaced ->
        displaced?.key?.slot?.complete(null)
        Unit
    }

    private fun nextOrNull(now: Timestamp, firstAnswerMilliseconds: Long): Waiter? {
        continued.poll(now).next?.let { return it.key }
        val isLateMoreUrgent =
            (late.highestPriorityOrNull ?: NONE) > (fresh.highestPriorityOrNull ?: NONE)
        if (isLateMoreUrgent && freshPassedOver < MAX_PASSED_OVER) {
            late.poll(now).next?.let {
                if (fresh.size > 0) freshPassedOver++
                return it.key
            }
        }
        freshPassedOver = 0
        val polled = fresh.poll(now, firstAnswerMilliseconds)
        polled.shed.forEach { shed ->
            shed.key.isLate = true
            enqueue(late, shed.key, shed.key.waitDeadline).onLeft { shed.key.slot.complete(null) }
        }
        // A waiter past its deadline is refused by the timeout in its own coroutine.
        return (polled.next ?: late.poll(now).next)?.key
    }

    private companion object {
        /** Bounds memory. The rule for queueing admits far fewer requests. */
        const val MAX_WAITING = 1_024

        /** As in [FairQueue]. */
        const val MAX_PASSED_OVER = 8

        /** Less than any priority. */
        const val NONE = -1
        val NO_WORKSPACE = WorkspaceId.parse("-")
    }
}
