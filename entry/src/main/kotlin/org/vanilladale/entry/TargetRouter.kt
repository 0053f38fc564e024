package org.vanilladale.entry

import arrow.core.Either
import arrow.core.raise.either
import kotlin.random.Random
import org.vanilladale.core.admission.DeadlineAdmission
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.retry.HedgeDecision
import org.vanilladale.core.retry.HedgedRequest
import org.vanilladale.core.retry.RetriedRequest
import org.vanilladale.core.retry.Retry
import org.vanilladale.core.retry.RetryDecision
import org.vanilladale.core.routing.ChoiceRequest
import org.vanilladale.core.routing.TargetState
import org.vanilladale.core.shard.Sharded
import org.vanilladale.schema.CacheEvents
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetReport
import org.vanilladale.schema.Timestamp

/**
 * Chooses targets and decides on retries and hedges, based on the load and cache state that this
 * entry tracks for each pool.
 *
 * @param connected returns the targets of a pool's subset that have an open connection
 */
internal class TargetRouter(
    private val clock: () -> Timestamp,
    private val random: Random,
    private val connected: (PoolName) -> List<TargetId>,
) {
    private val pools = Sharded<PoolName, HashMap<PoolName, PoolRouting>>(SHARDS) { HashMap() }

    /**
     * Chooses the target of the first attempt. Refuses the request if there is no usable target, or
     * if the chosen one is not expected to meet the deadline.
     */
    fun chooseFirst(plan: RequestPlan): Either<Refusal, TargetId> = withPool(plan.pool.name) {
        val now = clock()
        retryBudget(plan.route.name, plan.route.retryBudgetPercent, now).countRequest()
        hedgeBudget(plan.route.name, plan.route.hedgeBudgetPercent, now).countRequest()
        either {
            val resumed = plan.request.head.resumeTarget
                ?.takeIf { it in connected(plan.pool.name) }
            val target = resumed ?: choose(plan, emptySet(), now).bind()
            val report = view.reportOrNull(target, now)
            if (report != null) DeadlineAdmission.admit(report, plan.deadline, now).bind()
            view.started(target)
            target
        }
    }

    /** Decides whether to retry a failed request at another target, and chooses that target. */
    fun decideRetry(
        plan: RequestPlan,
        failure: AttemptFailure,
        tried: Set<TargetId>,
    ): Either<Refusal, Retry> = withPool(plan.pool.name) {
        val now = clock()
        val budget = retryBudget(plan.route.name, plan.route.retryBudgetPercent, now)
        val request = RetriedRequest(plan.route.idempotent, plan.deadline, tried)
        RetryDecision.decide(failure, request, budget, now) { choose(plan, it, now) }
            .onRight { view.started(it.target) }
    }

    /** Decides whether to send an unanswered look-up to a second target as well. */
    fun decideHedgeOrNull(plan: RequestPlan, hedgeAt: Deadline, tried: Set<TargetId>): Retry? =
        withPool(plan.pool.name) {
            val now = clock()
            val budget = hedgeBudget(plan.route.name, plan.route.hedgeBudgetPercent, now)
            val idempotent = plan.route.idempotent
            val request = HedgedRequest(plan.pool.type, idempotent, hedgeAt, plan.deadline, tried)
            HedgeDecision.decideOrNull(request, budget, now) { choose(plan, it, now) }
                ?.also { view.started(it.target) }
        }

    /** Counts an attempt in flight at [target], which was not chosen by this router. */
    fun started(pool: PoolName, target: TargetId) {
        withPool(pool) { view.started(target) }
    }

    /** Removes an ended attempt at [target] from the count, whatever its result. */
    fun finished(pool: PoolName, target: TargetId) {
        withPool(pool) { view.finished(target) }
    }

    /** Applies a load report of [target]. */
    fun reported(pool: PoolName, target: TargetId, load: Load) {
        val peers = connected(pool)
        withPool(pool) {
            val now = clock()
            view.reported(target, load, now)
            slowTargets.reported(target, load, peers, now)
        }
    }

    /** Applies cache events of an engine. Events may be delayed or missing. */
    fun cacheChanged(pool: PoolName, events: CacheEvents) {
        withPool(pool) {
            val now = clock()
            events.events.forEach { event ->
                val at = view.localTimeOf(events.target, event.raisedAt, now)
                if (event.stored) {
                    affinity.stored(event.prefix, events.target, at)
                } else {
                    affinity.evicted(event.prefix, events.target, at)
                }
            }
        }
    }

    /** Excludes [target] from new requests from [leavingAt] on. */
    fun markLeaving(pool: PoolName, target: TargetId, leavingAt: Deadline) {
        withPool(pool) { view.markLeaving(target, leavingAt) }
    }

    /** Excludes [target] from new requests until [clear] is called. */
    fun markUnavailable(pool: PoolName, target: TargetId) {
        val until = Deadline.fromEpochMilliseconds(Long.MAX_VALUE)
        withPool(pool) { view.markUnavailable(target, until) }
    }

    /** Reverts [markUnavailable]. */
    fun clear(pool: PoolName, target: TargetId) {
        withPool(pool) { view.clearUnavailable(target) }
    }

    /** Prefers other targets over [target] until [until]. */
    fun markSlow(pool: PoolName, target: TargetId, until: Deadline) {
        withPool(pool) { view.markSlow(target, until) }
    }

    /** Discards the load and cache state of [target], for example after its restart. */
    fun forget(pool: PoolName, target: TargetId) {
        withPool(pool) {
            view.forget(target)
            affinity.forget(target)
        }
    }

    /** Returns those of [targets] that may receive new requests. */
    fun usable(pool: PoolName, targets: List<TargetId>): List<TargetId> = withPool(pool) {
        val now = clock()
        targets.filter { view.stateOf(it, now) != TargetState.UNAVAILABLE }
    }

    /**
     * Returns those of [targets] that may receive new bindings. A target that has announced its
     * departure is returned only if there is no other, because a binding is used some time later.
     */
    fun bindable(pool: PoolName, targets: List<TargetId>): List<TargetId> {
        val usable = usable(pool, targets)
        val staying = withPool(pool) { usable.filterNot { view.isLeaving(it) } }
        return staying.ifEmpty { usable }
    }

    /** Describes [target] of [pool] for operators. */
    fun describe(pool: PoolName, target: PoolTarget): TargetReport = withPool(pool) {
        val now = clock()
        val last = view.lastReportOrNull(target.target)
        val state = view.stateOf(target.target, now)
        val isLoading = state == TargetState.UNAVAILABLE && last?.loading == true
        TargetReport(
            target.target,
            connected = true,
            target.dataCentre,
            if (isLoading) LOADING else state.name.lowercase(),
            view.loadOf(target.target, now),
            last?.version,
            last?.adapters.orEmpty(),
        )
    }

    private fun PoolRouting.choose(
        plan: RequestPlan,
        tried: Set<TargetId>,
        now: Timestamp,
    ): Either<Refusal, TargetId> = choice.choose(
        ChoiceRequest(
            connected(plan.pool.name),
            now,
            plan.request.head.prefix,
            tried,
            plan.request.head.adapter,
        ),
    )

    private fun <R> withPool(pool: PoolName, block: PoolRouting.() -> R): R =
        pools.withShard(pool) { it.getOrPut(pool) { PoolRouting(random) }.block() }

    private companion object {
        const val SHARDS = 16
        const val LOADING = "loading"
    }
}
