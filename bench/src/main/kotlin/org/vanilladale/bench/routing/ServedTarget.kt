package org.vanilladale.bench.routing

import org.vanilladale.core.admission.DeadlineAdmission
import org.vanilladale.core.admission.FairQueue
import org.vanilladale.core.admission.QueuedRequest
import org.vanilladale.core.admission.ServiceTime
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId

/** One attempt of a request at one target, with the callbacks of its entry. */
internal class SentAttempt(
    val number: Long,
    val workspace: WorkspaceId,
    val prefix: Int,
    val deadline: Deadline,
    var tokensLeft: Int,
    val onToken: () -> Unit,
    val onEnd: () -> Unit,
    val onFailure: (AttemptFailure) -> Unit,
) {
    var prefillLeft = 0
    var startedAt = 0L
}

/** Agent and engine of one target; the agent uses the queue and admission of core. */
internal class ServedTarget(
    val id: TargetId,
    private val time: VirtualTime,
    private val variant: Variant,
    private val slowFactor: Double,
    private val onCacheEvent: (prefix: Int, stored: Boolean) -> Unit,
) {
    private var queue = FairQueue<Long>(EngineModel.QUEUE)
    private val waiting = HashMap<Long, SentAttempt>()
    private val running = ArrayList<SentAttempt>()
    private val service = ServiceTime()
    private val cache = LinkedHashMap<Int, Unit>(16, 0.75f, true)
    private var stepping = false
    private var life = 0

    var alive = true
        private set
    var lookups = 0L
        private set
    var hits = 0L
        private set

    fun load(): Load = Load(
        running.size,
        queue.size,
        EngineModel.SLOTS,
        time.now,
        service.microseconds,
    )

    fun submit(attempt: SentAttempt) {
        if (!alive) {
            attempt.onFailure(AttemptFailure.fromRetryReason(RetryReason.CONNECT_FAILED))
            return
        }
        if (variant.admission) {
            DeadlineAdmission.admit(load(), attempt.deadline, time.now).onLeft {
                attempt.onFailure(AttemptFailure.fromRefusal(it))
                return
            }
        }
        // Without fairness all requests count as one workspace, which makes the queue first in,
        // first out.
        val workspace = if (variant.fair) attempt.workspace else ONE_WORKSPACE
        waiting[attempt.number] = attempt
        queue.offer(QueuedRequest(attempt.number, workspace, PRIORITY, attempt.deadline)).fold(
            { refuse(attempt.number, it) },
            { displaced ->
                if (displaced != null) {
                    refuse(displaced.key, Refusal(RefusalReason.TARGET_OVERLOADED))
                }
            },
        )
        if (!stepping) step()
    }

    fun cancel(attempt: SentAttempt) {
        queue.remove(attempt.number)
        waiting.remove(attempt.number)
        running.remove(attempt)
    }

    fun crash() {
        alive = false
        stepping = false
        life++
        val lost = running + waiting.values
        running.clear()
        waiting.clear()
        cache.clear()
        queue = FairQueue(EngineModel.QUEUE)
        val failure = AttemptFailure.fromRetryReason(RetryReason.CONNECTION_LOST)
        lost.forEach { it.onFailure(failure) }
    }

    fun restart() {
        alive = true
    }

    private fun refuse(number: Long, refusal: Refusal) {
        waiting.remove(number)?.onFailure?.invoke(AttemptFailure.fromRefusal(refusal))
    }

    private fun step() {
        admitToBatch()
        stepping = running.isNotEmpty()
        if (!stepping) return
        var budget = EngineModel.PREFILL_TOKENS_PER_STEP
        for (attempt in running) {
            val chunk = minOf(budget, attempt.prefillLeft)
            attempt.prefillLeft -= chunk
            budget -= chunk
        }
        val prefilled = EngineModel.PREFILL_TOKENS_PER_STEP - budget
        val ready = running.filter { it.prefillLeft == 0 }
        val duration = EngineModel.stepMicroseconds(running.size, prefilled) * slowFactor
        val lifeOfStep = life
        time.after(duration.toLong()) {
            if (lifeOfStep == life) {
                ready.forEach(::emitToken)
                step()
            }
        }
    }

    private fun emitToken(attempt: SentAttempt) {
        if (attempt !in running) return
        touch(attempt.prefix)
        attempt.tokensLeft--
        attempt.onToken()
        if (attempt.tokensLeft > 0) return
        running.remove(attempt)
        service.record(time.microseconds - attempt.startedAt)
        attempt.onEnd()
    }

    private fun admitToBatch() {
        while (running.size < EngineModel.SLOTS) {
            val needed = if (variant.admission) {
                service.microseconds / VirtualTime.MICROSECONDS_PER_MILLISECOND / 2
            } else {
                0
            }
            val polled = queue.poll(time.now, needed)
            polled.shed.forEach { refuse(it.key, Refusal(RefusalReason.DEADLINE_TOO_SHORT)) }
            val attempt = polled.next?.let { waiting.remove(it.key) } ?: return
            lookups++
            val hit = cache.containsKey(attempt.prefix)
            if (hit) hits++
            attempt.prefillLeft =
                EngineModel.OWN_TOKENS + if (hit) 0 else EngineModel.PREFIX_TOKENS
            attempt.startedAt = time.microseconds
            running += attempt
        }
    }

    private fun touch(prefix: Int) {
        if (cache.put(prefix, Unit) == null) onCacheEvent(prefix, true)
        if (cache.size > EngineModel.CACHED_PREFIXES) {
            val dropped = cache.keys.first()
            cache.remove(dropped)
            onCacheEvent(dropped, false)
        }
    }

    private companion object {
        const val PRIORITY = 5
        val ONE_WORKSPACE = WorkspaceId.parse("all")
    }
}
