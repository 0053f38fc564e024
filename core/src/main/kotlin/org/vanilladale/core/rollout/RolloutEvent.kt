package org.vanilladale.core.rollout

import org.vanilladale.schema.TargetRollout

/** What an agent tells the rollout decision. */
public sealed interface RolloutEvent {
    /** The tables in force ask for [plan]; null when they name no version for the target. */
    public data class PlanAccepted(val plan: RolloutPlan?) : RolloutEvent

    /** The engine reported [loaded]; null when it did not answer. */
    public data class EngineRead(val loaded: EngineModels?) : RolloutEvent

    /** Another target of the pool stated its progress. */
    public data class ProgressReceived(val progress: TargetRollout) : RolloutEvent

    /** [command] ended; [loaded] is what the engine reported afterwards, null without an answer. */
    public data class CommandEnded(
        val command: LoadCommand,
        val result: LoadResult,
        val loaded: EngineModels?,
    ) : RolloutEvent

    /**
     * Time has passed.
     *
     * @property inFlight requests that run at the target
     * @property connected true while an entry is connected, so that statements can arrive
     */
    public data class Tick(val inFlight: Int, val connected: Boolean) : RolloutEvent
}

/** What the agent has to do after a decision. */
public sealed interface RolloutAction {
    /** Sends [progress] to all connected entries. */
    public data class ReportProgress(val progress: TargetRollout) : RolloutAction

    /** Sends [command] to the engine if [RolloutState.refusalOrNull] still allows it. */
    public data class Send(val command: LoadCommand) : RolloutAction
}

/** A state and what has to be done on the way to it. */
public data class RolloutStep(val state: RolloutState, val actions: List<RolloutAction>)
