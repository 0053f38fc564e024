package org.vanilladale.entry

import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.core.stream.AssemblyStep
import org.vanilladale.core.stream.AttemptStart
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Cancel
import org.vanilladale.schema.CancelResult
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Load
import org.vanilladale.schema.Refused
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Submit

/** Sends a bound request, or the cancel of one, over one link. */
internal class BoundCall(
    private val boundRequest: BoundRequest,
    private val request: RequestId,
    private val link: AgentLink,
    private val onLoad: (Load) -> Unit,
) {
    /** Submits the request and writes the answer to [sink]. Gives up after [milliseconds]. */
    suspend fun submit(
        assembler: AnswerAssembler,
        milliseconds: Long,
        sink: AnswerSink,
    ): BoundCallResult {
        val start = assembler.startAttempt()
        val ended = exchange(submit(start), milliseconds) { frame ->
            onFrame(frame, assembler, sink)
        }
        return ended ?: BoundCallResult.Lost
    }

    /** Cancels the request. Returns null if its incarnation does not reply in [milliseconds]. */
    suspend fun cancel(milliseconds: Long): CancelState? {
        val head = boundRequest.plan.request.head
        val cancel = Cancel(request, Attempt(1), head.workspace, head.key, boundRequest.binding)
        if (isOtherIncarnation()) return null
        return exchange(cancel, milliseconds) { (it as? CancelResult)?.state }
    }

    /** Returns true if the connected agent is not the incarnation of the binding. */
    fun isOtherIncarnation(): Boolean {
        val connected = link.connection?.remote?.incarnation
        return connected != null && connected != boundRequest.binding.incarnation
    }

    private suspend fun <R : Any> exchange(
        frame: Frame,
        milliseconds: Long,
        onFrame: suspend (Frame) -> R?,
    ): R? {
        val events = link.open(request)
        try {
            return withTimeoutOrNull(milliseconds) {
                events.connection?.probeIfQuiet()
                if (events.connection?.send(frame) != true) return@withTimeoutOrNull null
                var result: R? = null
                while (result == null) {
                    val event = events.receive() as? AttemptEvent.Received ?: break
                    result = onFrame(event.frame)
                }
                result
            }
        } finally {
            link.close(request, events)
        }
    }

    private suspend fun onFrame(
        frame: Frame,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): BoundCallResult? = when (frame) {
        is Answer -> onStep(assembler.take(frame), sink)

        is AnswerEnd -> {
            frame.load?.let(onLoad)
            onStep(assembler.take(frame), sink)
        }

        is Refused -> {
            frame.load?.let(onLoad)
            val reason = RefusalReason.fromCodeOrNull(frame.reason) ?: RefusalReason.TARGET_FAILED
            BoundCallResult.Refused(Refusal(reason, frame.run, retryAt = frame.retryAt))
        }

        else -> null
    }

    private suspend fun onStep(step: AssemblyStep, sink: AnswerSink): BoundCallResult? {
        val target = boundRequest.poolTarget.target
        when (step) {
            is AssemblyStep.Deliver ->
                if (step.text.isNotEmpty()) sink.write(AnswerLine(step.offset, step.text), target)

            is AssemblyStep.Complete -> {
                val digest = step.digest.text
                sink.write(AnswerLine(end = true, length = step.length, digest = digest), target)
                return BoundCallResult.Complete
            }

            is AssemblyStep.Dropped -> Unit

            is AssemblyStep.Damaged -> return BoundCallResult.Refused(
                Refusal(
                    RefusalReason.ANSWER_INTERRUPTED,
                    RunState.UNKNOWN,
                    step.damage.remedy,
                ),
            )
        }
        return null
    }

    private fun submit(start: AttemptStart) = Submit(
        request = request,
        attempt = start.attempt,
        workspace = boundRequest.plan.request.head.workspace,
        key = boundRequest.plan.request.head.key,
        kind = boundRequest.plan.request.head.kind,
        path = boundRequest.plan.route.path,
        idempotent = false,
        isolated = boundRequest.plan.isolated,
        priority = boundRequest.plan.route.priority,
        deadline = boundRequest.plan.deadline,
        offset = start.offset,
        body = boundRequest.plan.request.body,
        prefix = boundRequest.plan.request.head.prefix,
        binding = boundRequest.binding,
        contentType = boundRequest.plan.request.contentType,
    )
}
