package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.retry.Retry
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Runs an idempotent look-up, and sends it to other targets as well if the answer is delayed.
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
     * Runs the look-up at the only target in [tried]. Targets of further attempts are added to it.
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
        val silences = Channel<Unit>(Channel.CONFLATED)
        val startAt = { target: TargetId ->
            start(plan, target, createCall) { silences.trySend(Unit) }
        }
        val running = mutableListOf(startAt(tried.single()))
        var hedge: Deferred<Unit>? = async { delay(plan.route.hedgeDelayMilliseconds) }
        val hedgeAt = clock().deadlineAfter(plan.route.hedgeDelayMilliseconds)
        var failure: AttemptFailure? = null
        var answered = false
        while (running.isNotEmpty() && !answered) {
            var retry: Retry? = null
            val ended = select<Deferred<CollectedAnswer>?> {
                running.forEach { attempt -> attempt.onAwait { attempt } }
                hedge?.onAwait {
                    hedge = null
                    retry = router.decideHedgeOrNull(plan, hedgeAt, tried)
                    null
                }
                silences.onReceive {
                    retry = router.decideRetry(plan, NO_PROGRESS, tried).getOrNull()
                    null
                }
            }
            retry?.let {
                counters.retried(it.reason)
                tried += it.target
                running += startAt(it.target)
            }
            if (ended != null) {
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

            is AttemptResult.Replaced -> error("an attempt at a look-up is not replaced")
        }

    private fun CoroutineScope.start(
        plan: RequestPlan,
        target: TargetId,
        createCall: (TargetId) -> AttemptCall?,
        onSilent: () -> Unit,
    ): Deferred<CollectedAnswer> = async {
        val lines = mutableListOf<AnswerLine>()
        try {
            val call = createCall(target)
            val result = if (call == null) {
                AttemptResult.Failed(AttemptFailure.fromRetryReason(RetryReason.CONNECT_FAILED))
            } else {
                val offset = plan.request.head.offset
                val replacementOrNull = { onSilent().let { null } }
                call.run(AnswerAssembler(call.request, offset), replacementOrNull) { lines += it }
            }
            CollectedAnswer(target, result, lines)
        } finally {
            router.finished(plan.pool.name, target)
        }
    }

    private companion object {
        val NO_PROGRESS = AttemptFailure.fromRetryReason(RetryReason.NO_PROGRESS)
    }
}
