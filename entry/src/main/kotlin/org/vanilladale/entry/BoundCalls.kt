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
 * Carries bound requests to the incarnation of their binding, again over a new connection when
 * there is no word from it. A further copy attaches to the first or gets its outcome.
 */
internal class BoundCalls(
    private val links: BoundLinks,
    private val counters: SystemCounters,
    private val firstAnswerMilliseconds: Long,
    private val clock: () -> Timestamp,
    private val newRequest: () -> RequestId,
    private val onLoad: (PoolName, TargetId, Load) -> Unit,
) {
    /** Runs [order]; returns the refusal when there is no whole answer. */
    suspend fun run(order: BoundOrder, sink: AnswerSink): Refusal? {
        val request = newRequest()
        val assembler = AnswerAssembler(request, order.plan.request.head.offset)
        var reachUntil = clock().deadlineAfter(REACH_MILLISECONDS)
        var result = links.sharedOrNull(order.place)
            ?.let { submit(order, call(order, request, it), assembler, sink) }
            ?: BoundCallResult.Lost
        if (result == BoundCallResult.Lost) reachUntil = clock().deadlineAfter(REACH_MILLISECONDS)
        while (result == BoundCallResult.Lost && !hasEnded(order, reachUntil)) {
            counters.event("bound-request-repeated")
            val left = minOf(reachUntil, order.plan.deadline).millisecondsLeft(clock())
            result = links.withNewLink(order.place, left) { link ->
                if (link == null) return@withNewLink BoundCallResult.Lost
                submit(order, call(order, request, link), assembler, sink)
                    .also { reachUntil = clock().deadlineAfter(REACH_MILLISECONDS) }
            }
        }
        return when (result) {
            BoundCallResult.Complete -> null
            is BoundCallResult.Refused -> result.refusal
            BoundCallResult.Lost -> afterLoss(order, request, assembler, sink)
        }
    }

    /** Returns [refusal] of this entry with the run state that the order's ledger confirms. */
    suspend fun cancelled(order: BoundOrder, refusal: Refusal): Refusal {
        val until = clock().deadlineAfter(REACH_MILLISECONDS)
        val state = links.sharedOrNull(order.place)?.let { link ->
            call(order, newRequest(), link).cancel(SHARED_CANCEL_MILLISECONDS)
        } ?: links.withNewLink(order.place, until.millisecondsLeft(clock())) { link ->
            link?.let { call(order, newRequest(), it).cancel(until.millisecondsLeft(clock())) }
        }
        val isMarked = state == CancelState.CANCELLED
        return refusal.copy(run = if (isMarked) RunState.NO else RunState.UNKNOWN)
    }

    private suspend fun submit(
        order: BoundOrder,
        call: BoundCall,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): BoundCallResult {
        if (call.isOtherIncarnation()) {
            return BoundCallResult.Refused(Refusal(RefusalReason.BINDING_LOST))
        }
        // A connection may have gone silent; half the time is left for a new one.
        val left = order.plan.deadline.millisecondsLeft(clock())
        val wait = minOf(firstAnswerMilliseconds, maxOf(left / 2, minOf(left, SHORTEST_WAIT)))
        return call.submit(assembler, wait, sink)
    }

    /** Cancels, so that the request can't run later, and fetches an outcome that came late. */
    private suspend fun afterLoss(
        order: BoundOrder,
        request: RequestId,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): Refusal? {
        val until = clock().deadlineAfter(REACH_MILLISECONDS)
        val isLate = order.plan.deadline.hasPassed(clock())
        val reason =
            if (isLate) RefusalReason.DEADLINE_PASSED else RefusalReason.OUTCOME_UNKNOWN
        val unknown = Refusal(reason, RunState.UNKNOWN)
        if (!isLate) return unknown
        Logger.info {
            val head = order.plan.request.head
            "entry: ${head.workspace}/${head.key} is late; cancels it at ${order.place.target}"
        }
        return links.withNewLink(order.place, until.millisecondsLeft(clock())) { link ->
            if (link == null) return@withNewLink unknown
            val call = call(order, newRequest(), link)
            if (call.isOtherIncarnation()) {
                return@withNewLink Refusal(RefusalReason.BINDING_LOST)
            }
            when (call.cancel(until.millisecondsLeft(clock()))) {
                CancelState.CANCELLED -> unknown.copy(run = RunState.NO)

                CancelState.DONE -> {
                    val left = until.millisecondsLeft(clock())
                    val replay = call(order, request, link).submit(assembler, left, sink)
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

    private fun hasEnded(order: BoundOrder, reachUntil: Deadline): Boolean {
        val now = clock()
        return order.plan.deadline.hasPassed(now) || reachUntil.hasPassed(now)
    }

    private fun call(order: BoundOrder, request: RequestId, link: AgentLink): BoundCall =
        BoundCall(order, request, link) { onLoad(order.plan.pool.name, order.place.target, it) }

    private companion object {
        /** Time in which an incarnation has to be reached again before its outcome is unknown. */
        const val REACH_MILLISECONDS = 2_000L

        /** A cancel goes over a new connection when the shared one seems silent. */
        const val SHARED_CANCEL_MILLISECONDS = 500L

        /** Shorter waits would repeat a request that merely takes its usual time. */
        const val SHORTEST_WAIT = 250L
    }
}
