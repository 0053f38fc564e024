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
 * Runs requests of non-idempotent routes, each only at the target incarnation of its binding.
 *
 * A refusal states that the request was not run only if the ledger of that incarnation confirms it.
 */
internal class BoundRequestRunner(
    private val configuration: ConfigurationHolder,
    private val runner: RequestRunner,
    private val calls: BoundCalls,
    private val suspects: CrashSuspects,
    private val clock: () -> Timestamp,
) {
    /** Returns true if a request with [head] must run at most once. */
    fun handles(head: CallerRequestHead): Boolean {
        val route = configuration.current?.routeOrNull(head.kind)
        return if (route == null) head.binding != null else !route.idempotent
    }

    /** Runs [request] and writes its answer to [sink]. Returns a refusal if it did not complete. */
    suspend fun run(request: CallerRequest, sink: AnswerSink, isLeaving: Boolean): Refusal? =
        either {
            val requested = resolve(request).bind()
            val decision = suspects.decide(requested.plan) { listOf(requested.poolTarget.target) }
            val isolated = decision is SuspectDecision.RunIsolated
            val boundRequest = requested.copy(plan = requested.plan.copy(isolated = isolated))
            entryRefusalOrNull(boundRequest, decision, isLeaving)
                ?.let { raise(calls.cancelled(boundRequest, it)) }
            var sent = false
            runner.withinWorkspaceLimit(boundRequest.plan) {
                sent = true
                calls.run(boundRequest, sink)?.left()
                    ?: suspects.completed(boundRequest.plan).right()
            }.mapLeft { if (sent) it else calls.cancelled(boundRequest, it) }.bind()
        }.leftOrNull()

    private fun entryRefusalOrNull(
        boundRequest: BoundRequest,
        decision: SuspectDecision,
        isLeaving: Boolean,
    ): Refusal? = when {
        decision is SuspectDecision.Refuse -> decision.refusal
        isLeaving -> Refusal(RefusalReason.LEAVING)
        boundRequest.plan.deadline.hasPassed(clock()) -> Refusal(RefusalReason.DEADLINE_TOO_SHORT)
        else -> null
    }

    private fun resolve(request: CallerRequest): Either<Refusal, BoundRequest> = either {
        val text = ensureNotNull(request.head.binding) { Refusal(RefusalReason.BINDING_REQUIRED) }
        val binding = ensureNotNull(BindingCodec.parseOrNull(text)) {
            outcomeUnknown(RefusalReason.BINDING_MALFORMED)
        }
        val tables = ensureNotNull(configuration.current) {
            outcomeUnknown(RefusalReason.NO_CONFIGURATION)
        }
        val route = ensureNotNull(tables.routeOrNull(request.head.kind)) {
            outcomeUnknown(RefusalReason.NO_ROUTE, "kind '${request.head.kind}' has no route")
        }
        ensure(binding.pool == route.pool) {
            val detail = "the binding is for pool ${binding.pool}, the route for ${route.pool}"
            outcomeUnknown(RefusalReason.BINDING_MALFORMED, detail)
        }
        val pool = tables.poolOf(route)
        val poolTarget = ensureNotNull(pool.targets.firstOrNull { it.target == binding.target }) {
            outcomeUnknown(RefusalReason.BINDING_LOST, "the pool no longer names ${binding.target}")
        }
        val latest = clock().deadlineAfter(route.deadlineMilliseconds)
        val deadline = minOf(request.head.deadline ?: latest, latest)
        BoundRequest(RequestPlan(request, route, pool, deadline), binding, poolTarget)
    }

    /**
     * Returns a refusal with unknown run state, because an earlier copy may have run and no ledger
     * was queried.
     */
    private fun outcomeUnknown(reason: RefusalReason, detail: String? = null) =
        Refusal(reason, RunState.UNKNOWN, detail)
}
