package org.vanilladale.bench.routing

import kotlin.random.Random
import org.vanilladale.core.admission.DeadlineAdmission
import org.vanilladale.core.admission.WorkspaceLimit
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.retry.RetriedRequest
import org.vanilladale.core.retry.RetryBudget
import org.vanilladale.core.retry.RetryDecision
import org.vanilladale.core.routing.ChoiceRequest
import org.vanilladale.core.routing.PrefixAffinity
import org.vanilladale.core.routing.SlowTargets
import org.vanilladale.core.routing.TargetChoice
import org.vanilladale.core.routing.TargetLoadView
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.RouteName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId

/** Names that the model shares between requests. */
internal class Names(condition: Condition) {
    val route: RouteName = RouteName.parse("draft")
    val workspaces = List(condition.workspaces) { WorkspaceId.parse("workspace-$it") }
    val prefixes = List(condition.workspaces * Workload.PREFIXES_PER_WORKSPACE) {
        PrefixId.parse("prefix-$it")
    }
}

/** One entry: the decisions of core in the order in which the entry program takes them. */
internal class ServingEntry(
    val index: Int,
    private val subset: List<TargetId>,
    private val variant: Variant,
    private val world: World,
    seed: Int,
) {
    private class Call(val arrival: Arrival, val deadline: Deadline) {
        val tried = HashSet<TargetId>()
        var delivered = 0
        var lastTokenAt = 0L
        var attempt: SentAttempt? = null
        var target: TargetId? = null
        var ended = false
    }

    private val time = world.time
    private val random = Random(seed * SEED_STRIDE + index)
    private val view = TargetLoadView(variant.reportLifetimeMilliseconds)
    private val slowTargets = SlowTargets(view)
    private val affinity = PrefixAffinity(keepMilliseconds = variant.affinityMilliseconds)
    private val choice = TargetChoice(
        view,
        variant.policy(PolicyParts(view, affinity, random, index)),
    )
    private val limit = WorkspaceLimit(world.capacityOfEntry)
    private val budget = RetryBudget(BUDGET_PERCENT, time.now)

    val targets: List<TargetId> get() = subset

    fun reported(target: ServedTarget) {
        val load = target.load()
        time.after(NETWORK_MICROSECONDS + random.nextLong(MOST_REPORT_LAG_MICROSECONDS)) {
            view.reported(target.id, load, time.now)
            if (variant.slowMarks) slowTargets.reported(target.id, load, subset, time.now)
        }
    }

    /** The connection works again; a redial finds this out, whatever the heartbeats. */
    fun connected(target: ServedTarget) {
        view.clearUnavailable(target.id)
    }

    fun cacheEvent(prefix: Int, target: TargetId, stored: Boolean) {
        if (random.nextDouble() < MISSING_CACHE_EVENTS) return
        val raisedAt = time.now
        time.after(random.nextLong(LEAST_EVENT_DELAY, MOST_EVENT_DELAY)) {
            val id = world.names.prefixes[prefix]
            if (stored) {
                affinity.stored(id, target, raisedAt)
            } else {
                affinity.evicted(id, target, raisedAt)
            }
        }
    }

    fun arrive(arrival: Arrival) {
        val call = Call(arrival, time.now.deadlineAfter(DEADLINE_MILLISECONDS))
        if (variant.fair) {
            limit.admit(workspaceOf(call), world.names.route, ROUTE_LIMIT).onLeft {
                world.measures.refused(it)
                return
            }
        }
        budget.countRequest()
        time.after(DEADLINE_MILLISECONDS * VirtualTime.MICROSECONDS_PER_MILLISECOND) {
            abandon(call)?.let { end(call, Refusal(RefusalReason.DEADLINE_PASSED)) }
        }
        val request = ChoiceRequest(subset, time.now, prefixOf(call))
        choice.choose(request).fold({ end(call, it) }, { target ->
            val report = view.reportOrNull(target, time.now).takeIf { variant.admission }
            if (report == null) {
                send(call, target)
            } else {
                DeadlineAdmission.admit(report, call.deadline, time.now)
                    .fold({ end(call, it) }, { send(call, target) })
            }
        })
    }

    private fun send(call: Call, id: TargetId) {
        val target = world.targetOf(id)
        lateinit var attempt: SentAttempt
        val later = { run: () -> Unit ->
            time.after(NETWORK_MICROSECONDS) { if (call.attempt === attempt && !call.ended) run() }
        }
        attempt = SentAttempt(
            world.nextAttempt(),
            workspaceOf(call),
            call.arrival.prefix,
            call.deadline,
            call.arrival.outputTokens - call.delivered,
            onToken = { later { token(call) } },
            onEnd = {
                reported(target)
                later { end(call, null) }
            },
            onFailure = { failure ->
                if (target.alive) reported(target)
                later { failed(call, failure) }
            },
        )
        call.tried += id
        call.attempt = attempt
        call.target = id
        view.started(id)
        val deliveredBefore = call.delivered
        time.after(NETWORK_MICROSECONDS) { if (call.attempt === attempt) target.submit(attempt) }
        time.after(PROGRESS_MICROSECONDS) {
            val silent = call.attempt === attempt && call.delivered == deliveredBefore
            if (silent && !call.ended) {
                target.cancel(attempt)
                failed(call, AttemptFailure.fromRetryReason(RetryReason.NO_PROGRESS))
            }
        }
    }

    private fun token(call: Call) {
        val since = if (call.delivered == 0) call.arrival.atMicroseconds else call.lastTokenAt
        world.measures.token(call.delivered == 0, time.microseconds - since)
        call.delivered++
        call.lastTokenAt = time.microseconds
    }

    private fun failed(call: Call, failure: AttemptFailure) {
        val target = call.target ?: return
        view.finished(target)
        call.attempt = null
        call.target = null
        if (failure.retryReason in BROKEN) {
            view.markUnavailable(target, time.now.deadlineAfter(UNAVAILABLE_MILLISECONDS))
            affinity.forget(target)
        }
        val request = RetriedRequest(idempotent = true, call.deadline, call.tried)
        val usedBudget = when (variant.retries) {
            Retries.NONE -> RetryBudget(0, time.now)
            Retries.BUDGET -> budget
            // A new budget holds tokens, so that it never refuses.
            Retries.UNLIMITED -> RetryBudget(BUDGET_PERCENT, time.now)
        }
        RetryDecision.decide(failure, request, usedBudget, time.now) { tried ->
            choice.choose(ChoiceRequest(subset, time.now, prefixOf(call), tried))
        }.fold({ end(call, it) }, { send(call, it.target) })
    }

    /** Takes the running attempt of [call] back; null when the call has ended already. */
    private fun abandon(call: Call): Call? {
        if (call.ended) return null
        call.attempt?.let { attempt -> call.target?.let { world.targetOf(it).cancel(attempt) } }
        return call
    }

    private fun end(call: Call, refusal: Refusal?) {
        call.ended = true
        call.target?.let(view::finished)
        if (variant.fair) limit.release(workspaceOf(call), world.names.route)
        if (refusal == null) {
            world.measures.completed(call.arrival)
        } else {
            if (call.delivered == 0 && refusal.reason == RefusalReason.DEADLINE_PASSED) {
                world.measures.token(true, time.microseconds - call.arrival.atMicroseconds)
            }
            world.measures.refused(refusal)
        }
    }

    private fun workspaceOf(call: Call) = world.names.workspaces[call.arrival.workspace]

    private fun prefixOf(call: Call) = world.names.prefixes[call.arrival.prefix]

    private companion object {
        const val SEED_STRIDE = 100_003
        const val NETWORK_MICROSECONDS = 1_000L
        const val MOST_REPORT_LAG_MICROSECONDS = 200_000L
        const val MISSING_CACHE_EVENTS = 0.2
        const val LEAST_EVENT_DELAY = 200_000L
        const val MOST_EVENT_DELAY = 2_000_000L
        const val DEADLINE_MILLISECONDS = 5_000L
        const val PROGRESS_MICROSECONDS = 2_500_000L
        const val UNAVAILABLE_MILLISECONDS = 60_000L
        const val ROUTE_LIMIT = 64
        const val BUDGET_PERCENT = 10
        val BROKEN = setOf(RetryReason.CONNECT_FAILED, RetryReason.CONNECTION_LOST)
    }
}
