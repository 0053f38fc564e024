package org.vanilladale.agent

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.vanilladale.core.admission.DeadlineAdmission
import org.vanilladale.core.admission.FairQueue
import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.core.admission.ServiceTime
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.Load
import org.vanilladale.schema.Timestamp

/** Hands the slots of the target to attempts, fairly between workspaces and by priority. */
internal class SlotQueue(
    private val slots: Int,
    queueCapacity: Int,
    private val clock: () -> Timestamp,
) {
    private class Waiter {
        val turn = CompletableDeferred<Either<Refusal, Unit>>()
        var granted = false

        fun grant() {
            granted = true
            turn.complete(Unit.right())
        }
    }

    private val lock = ReentrantLock()
    private val queue = FairQueue<AttemptId>(queueCapacity)
    private val waiters = HashMap<AttemptId, Waiter>()
    private val serviceTime = ServiceTime()
    private var running = 0

    @Volatile
    private var healthy = true

    /** Marks the target as able or unable to serve, for the load reports. */
    fun setHealthy(value: Boolean) {
        healthy = value
    }

    private val slow = AtomicBoolean()

    /** Marks the rank group of the target as slow or in time; returns true when that is new. */
    fun setSlow(value: Boolean): Boolean = slow.getAndSet(value) != value

    @Volatile
    private var models = LoadedModels()

    /** Sets what the target has loaded, for the load reports and the requests that come in. */
    fun setModels(value: LoadedModels) {
        models = value
    }

    /** Returns the reason for which the target can't run a request with [adapter], or null. */
    fun modelRefusalOrNull(adapter: AdapterName?): RefusalReason? = when {
        models.loading -> RefusalReason.LOADING
        adapter != null && adapter !in models.adapters -> RefusalReason.NO_ADAPTER
        else -> null
    }

    /** Load of the target now. */
    fun load(): Load = lock.withLock { loadUnderLock() }

    /** Waits for a slot, runs [block] in it and returns its result, or the refusal. */
    suspend fun <R> withSlot(
        request: QueuedRequest<AttemptId>,
        block: suspend () -> R,
    ): Either<Refusal, R> = either {
        val waiter = enter(request).bind()
        try {
            waiter.turn.await().bind()
        } catch (cancelled: CancellationException) {
            abandon(request.key, waiter)
            throw cancelled
        }
        val startedAt = System.nanoTime()
        try {
            val result = block()
            lock.withLock { serviceTime.record(microsecondsSince(startedAt)) }
            result
        } finally {
            leave()
        }
    }

    private fun enter(request: QueuedRequest<AttemptId>): Either<Refusal, Waiter> = lock.withLock {
        either {
            DeadlineAdmission.admit(loadUnderLock(), request.deadline, clock()).bind()
            val waiter = Waiter()
            if (running < slots && queue.size == 0) {
                running++
                waiter.grant()
            } else {
                val displaced = queue.offer(request).bind()
                waiters[request.key] = waiter
                displaced?.let { refuse(it, RefusalReason.TARGET_OVERLOADED) }
            }
            waiter
        }
    }

    private fun leave() {
        lock.withLock {
            running--
            admitNext()
        }
    }

    private fun admitNext() {
        while (running < slots) {
            val polled = queue.poll(clock())
            polled.shed.forEach { refuse(it, RefusalReason.DEADLINE_TOO_SHORT) }
            val next = polled.next ?: return
            running++
            waiters.remove(next.key)?.grant()
        }
    }

    private fun abandon(key: AttemptId, waiter: Waiter) {
        lock.withLock {
            if (waiters.remove(key, waiter)) {
                queue.remove(key)
            } else if (waiter.granted) {
                // The slot was granted at the same moment as the cancel.
                running--
                admitNext()
            }
        }
    }

    private fun refuse(request: QueuedRequest<AttemptId>, reason: RefusalReason) {
        val retryAt = clock().deadlineAfter(
            DeadlineAdmission.predictedMilliseconds(loadUnderLock()).coerceAtLeast(1),
        )
        waiters.remove(request.key)?.turn?.complete(Refusal(reason, retryAt = retryAt).left())
    }

    private fun loadUnderLock() = Load(
        running = running,
        waiting = queue.size,
        slots = slots,
        reportedAt = clock(),
        serviceMicroseconds = serviceTime.microseconds,
        healthy = healthy,
        slow = slow.get(),
        loading = models.loading,
        version = models.version,
        adapters = models.adapters,
    )

    private fun microsecondsSince(startedAt: Long): Long =
        (System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1_000
    }
}
