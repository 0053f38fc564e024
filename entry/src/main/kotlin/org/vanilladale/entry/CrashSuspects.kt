package org.vanilladale.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import org.vanilladale.core.crash.RequestFingerprints
import org.vanilladale.core.crash.SuspectDecision
import org.vanilladale.core.crash.SuspectLimits
import org.vanilladale.core.crash.SuspectRegistry
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.transport.PeerConnection

/**
 * Tracks the requests that were in flight when targets crashed, and isolates or refuses them.
 *
 * @param usableTargets returns the targets of a pool that may receive new requests
 * @param sendToAllAgents sends a report to all connected agents
 * @param sendToAllPeers sends a report to all other connected entries
 */
internal class CrashSuspects(
    private val clock: () -> Timestamp,
    private val usableTargets: (PoolName) -> List<TargetId>,
    private val sendToAllAgents: (CrashReport) -> Unit,
    private val sendToAllPeers: (CrashReport) -> Unit,
) {
    private val registry = SuspectRegistry(SuspectLimits())

    /** Merges a report of an agent or entry and forwards the part that was new. */
    fun onCrashReport(frame: CrashReport) {
        registry.merge(frame, clock())?.let(::sendToAll)
    }

    /** Sends all current reports over a new connection. */
    fun onConnected(connection: PeerConnection) {
        registry.reports(clock()).forEach { connection.trySend(it) }
    }

    /**
     * Decides whether the request of [plan] runs normally, runs isolated or is refused. A suspect
     * waits until delayed crash reports have arrived.
     */
    suspend fun decide(
        plan: RequestPlan,
        targets: () -> Collection<TargetId> = { usableTargets(plan.pool.name) },
    ): SuspectDecision {
        while (true) {
            val now = clock()
            val decision = registry.decide(fingerprintsOf(plan), targets(), now)
            if (decision !is SuspectDecision.RunIsolated || decision.settledAt.hasPassed(now)) {
                return decision
            }
            if (decision.settledAt >= plan.deadline) {
                val waiting =
                    registry.startRefusalOrNull(fingerprintsOf(plan), isolated = false, now)
                        ?: return SuspectDecision.Run
                return SuspectDecision.Refuse(waiting.copy(retryAt = decision.settledAt))
            }
            delay(decision.settledAt.millisecondsLeft(now))
        }
    }

    /** Chooses the target of the first attempt. A suspect is sent to its isolation target. */
    suspend fun chooseFirst(
        plan: RequestPlan,
        router: TargetRouter,
    ): Either<Refusal, Pair<RequestPlan, TargetId>> = when (val decision = decide(plan)) {
        SuspectDecision.Run -> router.chooseFirst(plan).map { plan.copy(isolated = false) to it }

        is SuspectDecision.RunIsolated -> {
            router.started(plan.pool.name, decision.target)
            (plan.copy(isolated = true) to decision.target).right()
        }

        is SuspectDecision.Refuse -> decision.refusal.left()
    }

    /** Decides again before a retry at [target], which [router] has chosen; see [decide]. */
    suspend fun chooseRetry(
        plan: RequestPlan,
        target: TargetId,
        router: TargetRouter,
    ): Either<Refusal, Pair<RequestPlan, TargetId>> {
        val decision = decide(plan)
        if (decision == SuspectDecision.Run) return (plan.copy(isolated = false) to target).right()
        router.finished(plan.pool.name, target)
        return chooseFirst(plan, router)
    }

    /** Clears the suspicion if the request of [plan] ran isolated and completed. */
    fun completed(plan: RequestPlan) {
        if (!plan.isolated) return
        Logger.info {
            "entry: ${plan.request.head.workspace}/${plan.request.head.key} is no longer a suspect"
        }
        registry.clear(fingerprintsOf(plan), clock())?.let(::sendToAll)
    }

    /** Removes expired suspects at a fixed interval until the coroutine is cancelled. */
    suspend fun removeExpiredPeriodically() {
        while (true) {
            delay(REMOVE_EXPIRED_MILLISECONDS)
            registry.forgetExpired(clock())
        }
    }

    private fun sendToAll(report: CrashReport) {
        sendToAllAgents(report)
        sendToAllPeers(report)
    }

    private fun fingerprintsOf(plan: RequestPlan): RequestFingerprints {
        val head = plan.request.head
        return RequestFingerprints.fromRequest(
            head.workspace,
            head.kind,
            head.key,
            plan.request.body,
        )
    }

    private companion object {
        const val REMOVE_EXPIRED_MILLISECONDS = 10_000L
    }
}
