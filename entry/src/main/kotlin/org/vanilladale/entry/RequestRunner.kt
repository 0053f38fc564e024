package org.vanilladale.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import java.util.concurrent.atomic.AtomicLong
import org.vanilladale.core.admission.WorkspaceLimit
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Routes requests, runs their attempts and writes the answers. */
internal class RequestRunner(
    private val configuration: ConfigurationHolder,
    private val links: AgentLinks,
    private val router: TargetRouter,
    private val suspects: CrashSuspects,
    private val counters: SystemCounters,
    private val timing: AttemptTiming,
    capacity: () -> Int,
    private val clock: () -> Timestamp,
) {
    private val nextRequest = AtomicLong(1)
    private val workspaceLimit = WorkspaceLimit(capacity)
    private val hedgedLookup = HedgedLookup(router, counters, clock)

    /** Runs [request] and writes its answer to [sink]. Returns a refusal if it did not complete. */
    suspend fun run(request: CallerRequest, sink: AnswerSink): Refusal? = either {
        val plan = plan(request).bind()
        withinWorkspaceLimit(plan) { serve(plan, sink) }.bind()
    }.leftOrNull()

    /** Returns a new request ID, unique within this process. */
    fun newRequest(): RequestId = RequestId(nextRequest.getAndIncrement())

    /** Runs [block] if the in-flight limit of the workspace admits the request of [plan]. */
    suspend fun withinWorkspaceLimit(
        plan: RequestPlan,
        block: suspend () -> Either<Refusal, Unit>,
    ): Either<Refusal, Unit> = either {
        admit(plan).bind()
        try {
            block().bind()
        } finally {
            synchronized(workspaceLimit) {
                workspaceLimit.release(plan.request.head.workspace, plan.route.name)
            }
        }
        counters.answered(plan.route.kind.text)
    }

    /** Determines the route, pool and deadline of [request]. */
    fun plan(request: CallerRequest): Either<Refusal, RequestPlan> = either {
        val tables = ensureNotNull(configuration.current) {
            Refusal(RefusalReason.NO_CONFIGURATION)
        }
        val route = ensureNotNull(tables.routeOrNull(request.head.kind)) {
            Refusal(RefusalReason.NO_ROUTE, detail = "kind '${request.head.kind}' has no route")
        }
        val now = clock()
        val latest = now.deadlineAfter(route.deadlineMilliseconds)
        val deadline = minOf(request.head.deadline ?: latest, latest)
        ensure(!deadline.hasPassed(now)) { Refusal(RefusalReason.DEADLINE_TOO_SHORT) }
        val pool = tables.poolOf(route)
        val adapter = request.head.adapter
        ensure(adapter == null || pool.adapters.any { it.name == adapter }) {
            Refusal(RefusalReason.NO_ADAPTER, detail = "pool '${pool.name}' has no '$adapter'")
        }
        RequestPlan(request, route, pool, deadline)
    }

    private fun admit(plan: RequestPlan): Either<Refusal, Unit> = synchronized(workspaceLimit) {
        val workspace = plan.request.head.workspace
        val route = plan.route
        workspaceLimit.admit(workspace, route.name, route.maximumInFlightPerWorkspace)
    }

    private suspend fun serve(requested: RequestPlan, sink: AnswerSink): Either<Refusal, Unit> {
        val (plan, first) = suspects.chooseFirst(requested, router).getOrElse { return it.left() }
        val tried = mutableSetOf(first)
        if (plan.pool.type != PoolType.SERVICE || !plan.hedged) {
            return attemptUntilDone(plan, first, tried, sink)
        }
        val request = newRequest()
        val failure = hedgedLookup.run(plan, tried, sink) { call(plan, request, it) }
            ?: return Unit.right()
        val (next, target) = nextAttempt(plan, failure, tried).getOrElse { return it.left() }
        return attemptUntilDone(next, target, tried, sink)
    }

    private suspend fun attemptUntilDone(
        requested: RequestPlan,
        first: TargetId,
        tried: MutableSet<TargetId>,
        sink: AnswerSink,
    ): Either<Refusal, Unit> {
        var plan = requested
        var target = first
        val request = newRequest()
        val assembler = AnswerAssembler(request, plan.request.head.offset)
        while (true) {
            val failure = when (val result = attempt(plan, request, target, assembler, sink)) {
                AttemptResult.Complete -> return suspects.completed(plan).right()
                is AttemptResult.Failed -> result.failure
            }
            val next = nextAttempt(plan, failure, tried)
                .getOrElse { return asInterruptedIfStarted(it, sink).left() }
            plan = next.first
            target = next.second
        }
    }

    private suspend fun nextAttempt(
        plan: RequestPlan,
        failure: AttemptFailure,
        tried: MutableSet<TargetId>,
    ): Either<Refusal, Pair<RequestPlan, TargetId>> = either {
        val next = if (failure.retryReason == RetryReason.SUSPECT_ISOLATED) {
            ensure(!plan.wasWithdrawn) { failure.refusal }
            counters.retried(RetryReason.SUSPECT_ISOLATED)
            // The target did not fail, so it is not excluded and the retry budget is not charged.
            suspects.chooseFirst(plan.copy(wasWithdrawn = true), router).bind()
        } else {
            val retry = router.decideRetry(plan, failure, tried).bind()
            counters.retried(retry.reason)
            suspects.chooseRetry(plan, retry.target, router).bind()
        }
        tried += next.second
        next
    }

    private suspend fun attempt(
        plan: RequestPlan,
        request: RequestId,
        target: TargetId,
        assembler: AnswerAssembler,
        sink: AnswerSink,
    ): AttemptResult = try {
        call(plan, request, target)?.run(assembler) { sink.write(it, target) }
            ?: AttemptResult.Failed(AttemptFailure.fromRetryReason(RetryReason.CONNECT_FAILED))
    } finally {
        router.finished(plan.pool.name, target)
    }

    private fun call(plan: RequestPlan, request: RequestId, target: TargetId): AttemptCall? =
        links.linkOrNull(target)?.let { link ->
            AttemptCall(plan, request, link, timing, counters, clock) { reporter, load ->
                router.reported(plan.pool.name, reporter, load)
            }
        }

    /**
     * Reports a failed target as an interrupted answer after the first line, because the caller can
     * resume only an answer of which it has a part.
     */
    private fun asInterruptedIfStarted(refusal: Refusal, sink: AnswerSink): Refusal =
        if (sink.started && refusal.reason == RefusalReason.TARGET_FAILED) {
            refusal.copy(reason = RefusalReason.ANSWER_INTERRUPTED)
        } else {
            refusal
        }
}
