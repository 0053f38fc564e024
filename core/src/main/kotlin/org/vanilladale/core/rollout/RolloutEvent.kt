package org.vanilladale.core.rollout

import org.vanilladale.schema.TargetRollout

/** An input to [Rollout]. */
public sealed interface RolloutEvent {
    /** The active tables require [plan], or null if they specify no version for the target. */
    public data class PlanAccepted(val plan: RolloutPlan?) : RolloutEvent

    /** The engine reported [loaded], or null if it didn't answer. */
    public data class EngineRead(val loaded: EngineModels?) : RolloutEvent

    /** Another target of the pool reported its [progress]. */
    public data class ProgressReceived(val progress: TargetRollout) : RolloutEvent

    /**
     * [command] has ended.
     *
     * @property loaded what the engine reported afterwards, or null if it didn't answer
     */
    public data class CommandEnded(
        val command: LoadCommand,
        val result: LoadResult,
        val loaded: EngineModels?,
    ) : RolloutEvent

    /**
     * Time has passed.
     *
     * @property inFlight the number of requests that run at the target
     * @property connected true if an entry is connected, so that progress reports can arrive
     */
    public data class Tick(val inFlight: Int, val connected: Boolean) : RolloutEvent
}

/** An action that the agent must perform after a decision. */
public sealed interface RolloutAction {
    /** Sends [progress] to all connected entries. */
    public data class ReportProgress(val progress: TargetRollout) : RolloutAction

    /**
     * Sends [command] to the engine, unless [RolloutState.refusalOrNull] returns a reason not to.
     */
    public data class Send(val command: LoadCommand) : RolloutAction
}

/** The new [state] after an event, and the [actions] to perform. */
public data class RolloutStep(val state: RolloutState, val actions: List<RolloutAction>)
