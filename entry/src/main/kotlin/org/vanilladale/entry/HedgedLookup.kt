package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Runs an idempotent look-up, and sends it to a second target if the answer is delayed.
 *
 * Each attempt buffers its answer, and only the first complete answer is written to the caller.
 * This keeps parts of two answers from being mixed.
 */
internal class HedgedLookup(
    private val router: TargetRouter,
    private val counters: SystemCounters,
    private val clock: () -> Timestamp,
) {
    private class CollectedAnswer(
        val target: TargetId,
        val result: AttemptResult,
        val lines: List<AnswerLine>,
    )

    /**
     * Runs the look-up at the only target in [tried]. The target of a hedge is added to [tried].
     *
     * @param createCall creates the call of one attempt, or returns null if the target has no link
     * @return the failure of the attempt that ended last, or null if the answer was written
     */
    suspend fun run(
        plan: RequestPlan,
        tried: MutableSet<TargetId>,
        sink: AnswerSink,
        createCall: (TargetId) -> AttemptCall?,
    ): AttemptFailure? = coroutineScope {
        val running = mutableListOf(start(plan, tried.single(), createCall))
        var hedge: Deferred<Unit>? = async { delay(plan.route.hedgeDelayMilliseconds) }
        val hedgeAt = clock().deadlineAfter(plan.route.hedgeDelayMilliseconds)
        var failure: AttemptFailure? = null
        var answered = false
        while (running.isNotEmpty() && !answered) {
            val ended = select<Deferred<CollectedAnswer>?> {
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
            } else {
                running -= ended
                failure = deliver(ended.await(), sink)
                answered = failure == null
            }
        }
        hedge?.cancel()
        running.forEach { it.cancel() }
        failure
    }

    private suspend fun deliver(collected: CollectedAnswer, sink: AnswerSink): AttemptFailure? =
        when (val result = collected.result) {
            AttemptResult.Complete -> {
                collected.lines.forEach { sink.write(it, collected.target) }
                null
            }

            is AttemptResult.Failed -> result.failure
        }

    private fun CoroutineScope.start(
        plan: RequestPlan,
        target: TargetId,
        createCall: (TargetId) -> AttemptCall?,
    ): Deferred<CollectedAnswer> = async {
        val lines = mutableListOf<AnswerLine>()
        try {
            val call = createCall(target)
            val result = if (call == null) {
                AttemptResult.Failed(AttemptFailure.fromRetryReason(RetryReason.CONNECT_FAILED))
            } else {
                val offset = plan.request.head.offset
                call.run(AnswerAssembler(call.request, offset)) { lines += it }
            }
            CollectedAnswer(target, result, lines)
        } finally {
            router.finished(plan.pool.name, target)
        }
    }
}
