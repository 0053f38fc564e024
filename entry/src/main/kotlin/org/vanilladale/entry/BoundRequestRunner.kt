package org.vanilladale.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.vanilladale.core.crash.SuspectDecision
import org.vanilladale.core.once.BindingCodec
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Timestamp

/**
 * Takes one request of a non-idempotent route to the target and incarnation of its binding, and to
 * no other. Only the ledger of that incarnation makes a refusal say that the request was not run.
 */
internal class BoundRequestRunner(
    private val configuration: ConfigurationHolder,
    private val runner: RequestRunner,
    private val calls: BoundCalls,
    private val suspects: CrashSuspects,
    private val clock: () -> Timestamp,
) {
    /** Returns true when a request with [head] may run only once. */
    fun takes(head: CallerRequestHead): Boolean {
        val route = configuration.current?.routeOrNull(head.kind)
        return if (route == null) head.binding != null else !route.idempotent
    }

    /** Runs [request] and writes its answer to [sink]; returns the refusal if there is none. */
    suspend fun run(request: CallerRequest, sink: AnswerSink, isLeaving: Boolean): Refusal? =
        either {
            val asked = order(request).bind()
            val decision = suspects.decide(asked.plan) { listOf(asked.place.target) }
            val isolated = decision is SuspectDecision.RunIsolated
            val order = asked.copy(plan = asked.plan.copy(isolated = isolated))
            entryRefusalOrNull(order, decision, isLeaving)
                ?.let { raise(calls.cancelled(order, it)) }
            var sent = false
            runner.counted(order.plan) {
                sent = true
                calls.run(order, sink)?.left() ?: suspects.completed(order.plan).right()
            }.mapLeft { if (sent) it else calls.cancelled(order, it) }.bind()
        }.leftOrNull()

    private fun entryRefusalOrNull(
        order: BoundOrder,
        decision: SuspectDecision,
        isLeaving: Boolean,
    ): Refusal? = when {
        decision is SuspectDecision.Refuse -> decision.refusal
        isLeaving -> Refusal(RefusalReason.LEAVING)
        order.plan.deadline.hasPassed(clock()) -> Refusal(RefusalReason.DEADLINE_TOO_SHORT)
        else -> null
    }

    private fun order(request: CallerRequest): Either<Refusal, BoundOrder> = either {
        val text = ensureNotNull(request.head.binding) { Refusal(RefusalReason.BINDING_REQUIRED) }
        val binding = ensureNotNull(BindingCodec.parseOrNull(text)) {
            unknown(RefusalReason.BINDING_MALFORMED)
        }
        val tables = ensureNotNull(configuration.current) {
            unknown(RefusalReason.NO_CONFIGURATION)
        }
        val route = ensureNotNull(tables.routeOrNull(request.head.kind)) {
            unknown(RefusalReason.NO_ROUTE, "kind '${request.head.kind}' has no route")
        }
        ensure(binding.pool == route.pool) {
            val detail = "the binding is for pool ${binding.pool}, the route for ${route.pool}"
            unknown(RefusalReason.BINDING_MALFORMED, detail)
        }
        val pool = tables.poolOf(route)
        val place = ensureNotNull(pool.targets.firstOrNull { it.target == binding.target }) {
            unknown(RefusalReason.BINDING_LOST, "the pool no longer names ${binding.target}")
        }
        val latest = clock().deadlineAfter(route.deadlineMilliseconds)
        val deadline = minOf(request.head.deadline ?: latest, latest)
        BoundOrder(RequestPlan(request, route, pool, deadline), binding, place)
    }

    /** No ledger was asked, and an earlier copy of the request may have run. */
    private fun unknown(reason: RefusalReason, detail: String? = null) =
        Refusal(reason, RunState.UNKNOWN, detail)
}
