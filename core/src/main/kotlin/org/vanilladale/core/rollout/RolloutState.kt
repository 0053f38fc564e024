package org.vanilladale.core.rollout

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/** The stage of a load at this target. */
public sealed interface LoadStage {
    /** This agent runs no load. */
    public data object Idle : LoadStage

    /** The target accepts no new requests. Requests in flight may finish until [until]. */
    public data class Draining(val until: Deadline) : LoadStage

    /** [command] is being sent to the engine or runs there. */
    public data class Running(val command: LoadCommand) : LoadStage
}

/** The last progress report of another target, and the local time at which it was received. */
public data class ReceivedProgress(val progress: TargetRollout, val receivedAt: Timestamp)

/**
 * What one agent knows about the rollout of its pool. Instances are immutable.
 *
 * @property receivingSince the time since which progress reports of other targets have been
 *   received without a gap
 * @property planAcceptedAt the time since which other targets can be expected to report progress
 *   for [plan]
 * @property loaded what the engine reported last, or null if it doesn't answer
 * @property failures the number of failed loads since the last successful one
 * @property retryAt the earliest time of the next load
 * @property lastReported the last progress that this target reported
 */
public data class RolloutState(
    val target: TargetId,
    val receivingSince: Timestamp,
    val lastTickAt: Timestamp = receivingSince,
    val plan: RolloutPlan? = null,
    val planAcceptedAt: Timestamp = receivingSince,
    val loaded: EngineModels? = null,
    val stage: LoadStage = LoadStage.Idle,
    val progressByTarget: Map<TargetId, ReceivedProgress> = emptyMap(),
    val failures: Int = 0,
    val failure: LoadFailure? = null,
    val retryAt: Deadline? = null,
    val lastReported: TargetRollout? = null,
    val nextReportAt: Deadline? = null,
) {
    /** The progress of this target, or null if there is no plan. */
    val phase: RolloutPhase?
        get() = when {
            plan == null -> null
            stage != LoadStage.Idle || loaded?.loading == true -> RolloutPhase.LOADING
            loaded == null -> RolloutPhase.UNREACHABLE
            nextCommandOrNull(Deadline.fromEpochMilliseconds(0)) == null -> RolloutPhase.DONE
            else -> RolloutPhase.WAITING
        }

    /**
     * False if the target has no version loaded or is being taken out of service for a load. True
     * without a plan, unless a load is in progress.
     */
    val serving: Boolean
        get() = when (val current = stage) {
            LoadStage.Idle -> plan == null || loaded?.version != null

            is LoadStage.Draining -> false

            is LoadStage.Running ->
                !current.command.interruptsService && loaded?.version != null
        }

    /**
     * Returns the next command of the plan, or null if there is none or the engine doesn't answer.
     */
    internal fun nextCommandOrNull(validUntil: Deadline): LoadCommand? {
        val current = plan ?: return null
        return loaded?.let { LoadCommand.nextOrNull(current, it, validUntil) }
    }

    /**
     * Returns the reason why [command] must not be sent now, or null if it may be sent.
     *
     * Call this function immediately before sending, because the process may have been paused since
     * the decision.
     *
     * @param activePlan the plan of the tables that are active now
     */
    public fun refusalOrNull(
        command: LoadCommand,
        activePlan: RolloutPlan?,
        now: Timestamp,
    ): LoadRefusal? = when {
        activePlan?.id != command.plan -> LoadRefusal.REVISION_CHANGED
        command.validUntil.hasPassed(now) -> LoadRefusal.LEASE_PASSED
        else -> null
    }
}
