package org.vanilladale.entry

import org.tinylog.kotlin.Logger
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.CancelState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Sends bound requests to the target incarnation of their binding.
 *
 * When no outcome arrives, the request is sent again over a new connection. The agent attaches a
 * repeated copy to the first one or replies with the outcome of the first one.
 */
internal class BoundCalls(
    private val links: BoundLinks,
    private val counters: SystemCounters,
    private val firstAnswerMilliseconds: Long,
    private val clock: () -> Timestamp,
    private val newRequest: () -> RequestId,
    private val onLoad: (PoolName, TargetId, Load) -> Unit,
) {
    /** Runs [boundRequest]. Returns null after a complete answer, and a refusal otherwise. */
    suspend fun run(boundRequest: BoundRequest, sink: AnswerSink): Refusal? {
        val request = newRequest()
        val assembler = AnswerAssembler(request, boundRequest.plan.request.head.offset)
        var retryBy = clock().deadlineAfter(RECONNECT_MILLISECONDS)
        var result = links.sharedOrNull(boundRequest.poolTarget)
            ?.let { submit(boundRequest, call(boundRequest, request, it), assembler, sink) }
            ?: BoundCallResult.Lost
        if (result == BoundCallResult.Lost) retryBy = clock().deadlineAfter(RECONNECT_MILLISECONDS)
        while (result == BoundCallResult.Lost && !hasEnded(boundRequest, retryBy)) {
            counters.event("bound-request-repeated")
            val left = minOf(retryBy, boundRequest.plan.deadline).millisecondsLeft(clock())
            result = links.withNewLink(boundRequest.poolTarget, left) { link ->
                if (link == null) return@withNewLink BoundCallResult.Lost
                submit(boundRequest, call(boundRequest, request, link), assembler, sink)
                    .also { retryBy = clock().deadlineAfter(RECONNECT_MILLISECONDS) }
            }
        }
        return when (result) {
            BoundCallResult.Complete -> null
            is BoundCallResult.Refused -> result.refusal
            BoundCallResult.Lost -> resolveLostOutcome(boundRequest, request, assembler, sink)
        }
    }

    /**
     * Cancels [boundRequest] at its target and returns [refusal] with the resulting run state. The
     * state is [RunState.NO] only if the ledger of the target confirms the cancellation.
     */
    suspend fun cancelled(boundRequest: BoundRequest, refusal: Refusal): Refusal {
        val until = clock().deadlineAfter(RECONNECT_MILLISECONDS)
        val state = links.sharedOrNull(boundRequest.poolTarget)?.let { link ->
            call(boundRequest, newRequest(), link).cancel(SHARED_CANCEL_MILLISECONDS)
        } ?: links.withNewLink(boundRequest.poolTarget, until.millisecondsLeft(clock())) { link ->
            link?.let {
                call(boundRequest, newRequest(), it).cancel(until.millisecondsLeft(clock()))
            }
        }
        val isCancelled = state == CancelState.CANCELLED
        return refusal.copy(run = if (isCancelled) RunState.NO else RunState.UNKNOWN)
    }

    private suspend fun submit(
        boundRequest: BoundRequest,
        call: BoundCall,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): BoundCallResult {
        if (call.isOtherIncarnation()) {
            return BoundCallResult.Refused(Refusal(RefusalReason.BINDING_LOST))
        }
        // The connection may be dead, so half of the remaining time is reserved for a new one.
        val left = boundRequest.plan.deadline.millisecondsLeft(clock())
        val wait =
            minOf(firstAnswerMilliseconds, maxOf(left / 2, minOf(left, MIN_WAIT_MILLISECONDS)))
        return call.submit(assembler, wait, sink)
    }

    /**
     * Determines the refusal of a request whose outcome was lost. After the deadline, it cancels
     * the request so that it cannot run later, and fetches the outcome if there already is one.
     */
    private suspend fun resolveLostOutcome(
        boundRequest: BoundRequest,
        request: RequestId,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): Refusal? {
        val until = clock().deadlineAfter(RECONNECT_MILLISECONDS)
        val isLate = boundRequest.plan.deadline.hasPassed(clock())
        val reason =
            if (isLate) RefusalReason.DEADLINE_PASSED else RefusalReason.OUTCOME_UNKNOWN
        val unknown = Refusal(reason, RunState.UNKNOWN)
        if (!isLate) return unknown
        Logger.info {
            val head = boundRequest.plan.request.head
            "entry: cancels late ${head.workspace}/${head.key} at ${boundRequest.poolTarget.target}"
        }
        return links.withNewLink(boundRequest.poolTarget, until.millisecondsLeft(clock())) { link ->
            if (link == null) return@withNewLink unknown
            val call = call(boundRequest, newRequest(), link)
            if (call.isOtherIncarnation()) {
                return@withNewLink Refusal(RefusalReason.BINDING_LOST)
            }
            when (call.cancel(until.millisecondsLeft(clock()))) {
                CancelState.CANCELLED -> unknown.copy(run = RunState.NO)

                CancelState.DONE -> {
                    val left = until.millisecondsLeft(clock())
                    val replay = call(boundRequest, request, link).submit(assembler, left, sink)
                    when (replay) {
                        BoundCallResult.Complete -> null
                        is BoundCallResult.Refused -> replay.refusal
                        BoundCallResult.Lost -> unknown
                    }
                }

                else -> unknown
            }
        }
    }

    private fun hasEnded(boundRequest: BoundRequest, retryBy: Deadline): Boolean {
        val now = clock()
        return boundRequest.plan.deadline.hasPassed(now) || retryBy.hasPassed(now)
    }

    private fun call(boundRequest: BoundRequest, request: RequestId, link: AgentLink): BoundCall =
        BoundCall(boundRequest, request, link) {
            onLoad(boundRequest.plan.pool.name, boundRequest.poolTarget.target, it)
        }

    private companion object {
        /** Time to reach the incarnation again before the outcome is reported as unknown. */
        const val RECONNECT_MILLISECONDS = 2_000L

        /** Time to wait on the shared connection before the cancel is sent over a new one. */
        const val SHARED_CANCEL_MILLISECONDS = 500L

        /** Shorter waits would repeat requests that take no longer than usual. */
        const val MIN_WAIT_MILLISECONDS = 250L
    }
}
