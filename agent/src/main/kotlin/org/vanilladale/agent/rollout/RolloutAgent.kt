package org.vanilladale.agent.rollout

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.rollout.LoadCommand
import org.vanilladale.core.rollout.LoadResult
import org.vanilladale.core.rollout.Rollout
import org.vanilladale.core.rollout.RolloutAction
import org.vanilladale.core.rollout.RolloutEvent
import org.vanilladale.core.rollout.RolloutOptions
import org.vanilladale.core.rollout.RolloutPlan
import org.vanilladale.core.rollout.RolloutState
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.RolloutStatus
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout

/**
 * Loads the model version and adapters that the tables require into the engine of this target, when
 * it is this target's turn in the rollout.
 */
internal class RolloutAgent(
    target: TargetId,
    private val engine: EngineLoads,
    private val counters: SystemCounters,
    private val ports: RolloutPorts,
) {
    private val lock = Any()
    private val rollout = Rollout(RolloutOptions(), Random.Default)
    private var state = RolloutState(target, ports.clock())

    /** Current state of the rollout at this target. */
    val current: RolloutState get() = synchronized(lock) { state }

    /** Follows the tables and the state of the engine until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                val plan = activePlan()
                apply(scope, RolloutEvent.PlanAccepted(plan))
                if (plan != null) {
                    apply(scope, RolloutEvent.EngineRead(engine.readOrNull()))
                    val tick = RolloutEvent.Tick(ports.inFlight(), ports.isConnected())
                    apply(scope, tick)
                }
                delay(TICK_INTERVAL_MILLISECONDS)
            }
        }
    }

    /** Handles the progress of other targets in [report] and publishes what is new in it. */
    fun onReport(scope: CoroutineScope, report: RolloutReport) {
        if (report.pool != current.plan?.pool) return
        val before = current.progressByTarget
        report.targets.forEach { apply(scope, RolloutEvent.ProgressReceived(it)) }
        val after = current.progressByTarget
        val newProgress = report.targets.filter { after[it.target] !== before[it.target] }
        if (newProgress.isNotEmpty()) ports.publish(report.copy(targets = newProgress))
    }

    /** Returns the rollout status for operators, or null if the tables name no version. */
    fun statusOrNull(): RolloutStatus? {
        val snapshot = current
        val plan = snapshot.plan ?: return null
        val phase = snapshot.phase ?: return null
        return RolloutStatus(
            plan.pool,
            plan.revision,
            phase,
            snapshot.serving,
            plan.version,
            plan.adapters,
            snapshot.loaded?.adapters.orEmpty(),
            snapshot.failures,
            snapshot.loaded?.version,
            snapshot.failure?.code,
            snapshot.retryAt,
            rollout.waitingFor(snapshot, ports.clock()),
        )
    }

    private fun activePlan(): RolloutPlan? =
        ports.tables()?.let { RolloutPlan.fromTablesOrNull(it, current.target) }

    private fun apply(scope: CoroutineScope, event: RolloutEvent) {
        val step = synchronized(lock) {
            val before = state
            val step = rollout.decide(before, event, ports.clock())
            state = step.state
            // Called under the lock, so that changes are reported in the order in which they occur.
            if (before.serving != state.serving || before.loaded != state.loaded ||
                before.plan != state.plan
            ) {
                ports.onChange(state)
            }
            step
        }
        step.actions.forEach { action ->
            when (action) {
                is RolloutAction.ReportProgress -> publish(step.state.plan?.pool, action.progress)
                is RolloutAction.Send -> scope.launch { send(scope, action.command) }
            }
        }
    }

    private fun publish(pool: PoolName?, statement: TargetRollout) {
        if (pool == null) return
        ports.publish(RolloutReport(pool, listOf(statement)))
    }

    /**
     * Sends [command] to the engine. The tables and the lease are checked again first, because the
     * process may have paused since the command was decided.
     */
    private suspend fun send(scope: CoroutineScope, command: LoadCommand) {
        val refusal = current.refusalOrNull(command, activePlan(), ports.clock())
        val result = if (refusal == null) {
            Logger.info { "rollout: ${command.kind.code} ${command.name} ${command.version} sent" }
            engine.send(command)
        } else {
            LoadResult.Refused(refusal)
        }
        recordResult(command, result)
        apply(scope, RolloutEvent.CommandEnded(command, result, engine.readOrNull()))
    }

    private fun recordResult(command: LoadCommand, result: LoadResult) {
        val operation = "${command.kind.code} ${command.name} ${command.version}"
        when (result) {
            LoadResult.Completed -> {
                counters.loaded(command.kind)
                Logger.info { "rollout: $operation completed" }
            }

            is LoadResult.Failed -> {
                counters.loadRetried(result.reason)
                Logger.warn {
                    "rollout: $operation failed, ${result.reason.code}; it will be retried"
                }
            }

            is LoadResult.Refused -> {
                counters.loadRefused(result.reason)
                Logger.warn { "rollout: $operation was not run: ${result.reason.code}" }
            }
        }
    }

    private companion object {
        /** Far shorter than the gap that counts as a pause of the agent. */
        const val TICK_INTERVAL_MILLISECONDS = 250L
    }
}
