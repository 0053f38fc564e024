package org.vanilladale.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Runs an idempotent look-up; when its answer is late, a second target gets it too.
 *
 * Each attempt collects its own whole answer and only the first complete one reaches the caller,
 * so that pieces of two answers never mix.
 */
internal class HedgedLookup(
    private val router: TargetRouter,
    private val counters: SystemCounters,
    private val clock: () -> Timestamp,
) {
    private class Collected(
        val target: TargetId,
        val result: AttemptResult,
        val lines: List<AnswerLine>,
    )

    /** Runs the look-up from [first] on; [createCall] makes the call of one attempt. */
    suspend fun run(
        plan: RequestPlan,
        first: TargetId,
        sink: AnswerSink,
        createCall: (TargetId) -> AttemptCall?,
    ): Either<Refusal, Unit> = coroutineScope {
        val tried = mutableSetOf(first)
        val running = mutableListOf(start(plan, first, createCall))
        var hedge: Deferred<Unit>? = async { delay(plan.route.hedgeDelayMilliseconds) }
        val hedgeAt = clock().deadlineAfter(plan.route.hedgeDelayMilliseconds)
        var outcome: Either<Refusal, Unit>? = null
        while (outcome == null) {
            val ended = select<Deferred<Collected>?> {
                running.forEach { attempt -> attempt.onAwait { attempt } }
                hedge?.onAwait { null }
            }
            if (ended == null) {
                hedge = null
                router.decideHedgeOrNull(plan, hedgeAt, tried)?.let { retry ->
                    counters.retried(RetryReason.HEDGE)
                    tried += retry.target
                    running += start(plan, retry.target, createCall)
                }
                continue
            }
            running -= ended
            outcome = onEnded(plan, ended.await(), tried, running, sink) {
                running += start(plan, it, createCall)
            }
        }
        hedge?.cancel()
        running.forEach { it.cancel() }
        outcome
    }

    private suspend fun onEnded(
        plan: RequestPlan,
        collected: Collected,
        tried: MutableSet<TargetId>,
        running: List<Deferred<Collected>>,
        sink: AnswerSink,
        restart: (TargetId) -> Unit,
    ): Either<Refusal, Unit>? {
        val failure = when (val result = collected.result) {
            AttemptResult.Complete -> {
                collected.lines.forEach { sink.write(it, collected.target) }
                return Unit.right()
            }

            is AttemptResult.Failed -> result.failure
        }
        // Another attempt still runs; it decides the outcome.
        if (running.isNotEmpty()) return null
        val retry = router.decideRetry(plan, failure, tried).getOrElse { return it.left() }
        counters.retried(retry.reason)
        tried += retry.target
        restart(retry.target)
        return null
    }

    private fun CoroutineScope.start(
        plan: RequestPlan,
        target: TargetId,
        createCall: (TargetId) -> AttemptCall?,
    ): Deferred<Collected> = async {
        val lines = mutableListOf<AnswerLine>()
        try {
            val call = createCall(target)
            val result = if (call == null) {
                AttemptResult.Failed(AttemptFailure.fromRetryReason(RetryReason.CONNECT_FAILED))
            } else {
                val offset = plan.request.head.offset
                call.run(AnswerAssembler(call.request, offset)) { lines += it }
            }
            Collected(target, result, lines)
        } finally {
            router.finished(plan.pool.name, target)
        }
    }
}
