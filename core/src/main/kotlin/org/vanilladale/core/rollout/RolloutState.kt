package org.vanilladale.core.rollout

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/** How far a load of this target has got. */
public sealed interface LoadStage {
    /** No load of this agent runs. */
    public data object Idle : LoadStage

    /** The target takes no new requests and finishes those in flight until [until]. */
    public data class Draining(val until: Deadline) : LoadStage

    /** [command] is on its way to the engine or runs there. */
    public data class Running(val command: LoadCommand) : LoadStage
}

/** The last statement of another target and the own time at which it came. */
public data class ReceivedProgress(val progress: TargetRollout, val receivedAt: Timestamp)

/**
 * What one agent knows of the rollout of its pool. Immutable.
 *
 * @property loaded what the engine reported last; null while it does not answer
 * @property receivingSince time from which on statements of others have been heard without a gap
 * @property planAcceptedAt time from which on the others can be expected to state [plan]
 * @property failures loads that failed since the last one that succeeded
 * @property retryAt time before which no load is tried again
 * @property lastReported last own statement
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
    /** Progress of this target; null without a plan. */
    val phase: RolloutPhase?
        get() = when {
            plan == null -> null
            stage != LoadStage.Idle || loaded?.loading == true -> RolloutPhase.LOADING
            loaded == null -> RolloutPhase.UNREACHABLE
            nextCommandOrNull(Deadline.fromEpochMilliseconds(0)) == null -> RolloutPhase.DONE
            else -> RolloutPhase.WAITING
        }

    /** False while the target has no version or gives it up; true without a plan. */
    val serving: Boolean
        get() = when (val current = stage) {
            LoadStage.Idle -> plan == null || loaded?.version != null

            is LoadStage.Draining -> false

            is LoadStage.Running ->
                !current.command.makesTargetUnavailable && loaded?.version != null
        }

    /** Returns the next command towards the plan, or null when the engine holds what it asks. */
    internal fun nextCommandOrNull(validUntil: Deadline): LoadCommand? {
        val current = plan ?: return null
        return loaded?.let { LoadCommand.nextOrNull(current, it, validUntil) }
    }

    /**
     * Returns why [command] must not be sent now, or null when it may be.
     *
     * Ask immediately before sending: the process may have been paused since the decision.
     *
     * @param activePlan plan of the tables that are in force now
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
