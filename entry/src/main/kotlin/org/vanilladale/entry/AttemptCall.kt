package org.vanilladale.entry

import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.core.stream.AssemblyStep
import org.vanilladale.core.stream.AttemptStart
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.Load
import org.vanilladale.schema.Refused
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.Submit
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Sends one attempt over a link and delivers the answer. */
internal class AttemptCall(
    private val plan: RequestPlan,
    val request: RequestId,
    private val link: AgentLink,
    private val timing: AttemptTiming,
    private val counters: SystemCounters,
    private val clock: () -> Timestamp,
    private val onLoad: (TargetId, Load) -> Unit,
) {
    /** Runs the attempt and passes each new line of the answer to [deliver]. */
    suspend fun run(
        assembler: AnswerAssembler,
        deliver: suspend (AnswerLine) -> Unit,
    ): AttemptResult {
        val start = assembler.startAttempt()
        val events = link.open(request)
        var ended = false
        try {
            events.connection?.probeIfQuiet()
            if (link.connection?.send(submit(start)) != true) {
                return failed(RetryReason.CONNECT_FAILED)
            }
            val result = withTimeoutOrNull(plan.deadline.millisecondsLeft(clock())) {
                receive(events, assembler, deliver)
            }
            ended = result != null && result != failed(RetryReason.NO_PROGRESS)
            return result ?: refused(Refusal(RefusalReason.DEADLINE_PASSED))
        } finally {
            link.close(request, events)
            if (!ended) cancel(start)
        }
    }

    private suspend fun receive(
        events: AttemptEvents,
        assembler: AnswerAssembler,
        deliver: suspend (AnswerLine) -> Unit,
    ): AttemptResult {
        var wait = timing.firstAnswerMilliseconds
        while (true) {
            // Events that are already queued are taken without starting a timer.
            val event = events.pollOrNull()
                ?: withTimeoutOrNull(wait) { events.receive() }
                ?: return failed(RetryReason.NO_PROGRESS)
            val result = when (event) {
                is AttemptEvent.Lost -> failed(event.reason)

                // A retry would not help, because the caller would read it just as slowly.
                AttemptEvent.Overflowed ->
                    refused(Refusal(RefusalReason.ANSWER_INTERRUPTED, detail = TOO_SLOW))

                is AttemptEvent.Received -> onFrame(event, assembler, deliver)
            }
            if (result != null) return result
            wait = timing.progressMilliseconds
        }
    }

    private suspend fun onFrame(
        event: AttemptEvent.Received,
        assembler: AnswerAssembler,
        deliver: suspend (AnswerLine) -> Unit,
    ): AttemptResult? = when (val frame = event.frame) {
        is Answer -> onStep(assembler.take(frame), deliver)

        is AnswerEnd -> {
            frame.load?.let { onLoad(link.target.target, it) }
            onStep(assembler.take(frame), deliver)
        }

        is Refused -> {
            frame.load?.let { onLoad(link.target.target, it) }
            val reason = RefusalReason.fromCodeOrNull(frame.reason) ?: RefusalReason.TARGET_FAILED
            refused(Refusal(reason, frame.run, retryAt = frame.retryAt))
        }

        else -> {
            counters.event("frame-unexpected")
            null
        }
    }

    private suspend fun onStep(
        step: AssemblyStep,
        deliver: suspend (AnswerLine) -> Unit,
    ): AttemptResult? {
        when (step) {
            is AssemblyStep.Deliver ->
                if (step.text.isNotEmpty()) deliver(AnswerLine(step.offset, step.text))

            is AssemblyStep.Complete -> {
                deliver(AnswerLine(end = true, length = step.length, digest = step.digest.text))
                return AttemptResult.Complete
            }

            is AssemblyStep.Dropped -> counters.event("frame-${step.reason.code}")

            is AssemblyStep.Damaged -> {
                counters.event("answer-${step.damage.code}")
                val detail = step.damage.remedy
                return refused(Refusal(RefusalReason.ANSWER_INTERRUPTED, detail = detail))
            }
        }
        return null
    }

    private fun cancel(start: AttemptStart) {
        val head = plan.request.head
        link.connection?.trySend(Cancel(request, start.attempt, head.workspace, head.key))
    }

    private fun submit(start: AttemptStart) = Submit(
        request = request,
        attempt = start.attempt,
        workspace = plan.request.head.workspace,
        key = plan.request.head.key,
        kind = plan.request.head.kind,
        path = plan.route.path,
        idempotent = plan.route.idempotent,
        isolated = plan.isolated,
        priority = plan.route.priority,
        deadline = plan.deadline,
        offset = start.offset,
        delivered = start.delivered,
        body = plan.request.body,
        prefix = plan.request.head.prefix,
        contentType = plan.request.contentType,
        adapter = plan.request.head.adapter,
    )

    private fun failed(reason: RetryReason) =
        AttemptResult.Failed(AttemptFailure.fromRetryReason(reason))

    private fun refused(refusal: Refusal) =
        AttemptResult.Failed(AttemptFailure.fromRefusal(refusal))

    private companion object {
        const val TOO_SLOW = "the caller reads too slowly; resume with the offset that you hold"
    }
}
