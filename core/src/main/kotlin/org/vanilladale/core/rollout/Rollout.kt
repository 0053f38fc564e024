package org.vanilladale.core.rollout

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/**
 * Decides when the engine of one agent loads the model version and adapters of the tables.
 *
 * Agents share no state. Each agent orders the targets of its pool by rendezvous hashing over the
 * plan. It waits for its turn, based on the progress reports that entries forward from the other
 * targets. See docs/decisions/model-rollout.md.
 */
public class Rollout(private val options: RolloutOptions, private val random: Random) {
    private val turn = LoadTurn(options)

    /** Applies [event] to [state] and returns the new state and the actions to perform. */
    public fun decide(state: RolloutState, event: RolloutEvent, now: Timestamp): RolloutStep {
        val changed = when (event) {
            is RolloutEvent.PlanAccepted -> onPlan(state, event.plan, now)
            is RolloutEvent.EngineRead -> onEngine(state, event.loaded, now)
            is RolloutEvent.ProgressReceived -> onProgress(state, event.progress, now)
            is RolloutEvent.CommandEnded -> onEnded(state, event, now)
            is RolloutEvent.Tick -> onTick(state, event, now)
        }
        return withReport(changed, now)
    }

    /** Returns the targets that the target of [state] must wait for before it loads. */
    public fun waitingFor(state: RolloutState, now: Timestamp): List<TargetId> =
        if (state.phase == RolloutPhase.WAITING) turn.waitingFor(state, now) else emptyList()

    private fun onPlan(state: RolloutState, plan: RolloutPlan?, now: Timestamp): RolloutStep {
        val old = state.plan
        if (plan != null && old != null && plan.revision < old.revision) return unchanged(state)
        if (plan?.id == old?.id) return unchanged(state.copy(plan = plan))
        // A new plan ends the current turn. A running command is allowed to finish, but no further
        // command of the old plan follows.
        val stage = state.stage.takeIf { it is LoadStage.Running } ?: LoadStage.Idle
        val changed = state.copy(
            plan = plan,
            planAcceptedAt = now,
            stage = stage,
            failures = 0,
            failure = null,
            retryAt = null,
        )
        // Without a previous plan, the other targets don't know about this one yet.
        return unchanged(if (old == null) restartObservation(changed, now) else changed)
    }

    private fun onEngine(state: RolloutState, loaded: EngineModels?, now: Timestamp): RolloutStep {
        // The engine may have been read before the command took effect. CommandEnded contains the
        // state after it.
        if (state.stage is LoadStage.Running) return unchanged(state)
        val changed = state.copy(loaded = loaded)
        val skippedByOthers =
            state.phase == RolloutPhase.DONE || state.phase == RolloutPhase.UNREACHABLE
        val lost = changed.phase == RolloutPhase.WAITING &&
            (skippedByOthers || state.serving && !changed.serving)
        return unchanged(if (lost) restartObservation(changed, now) else changed)
    }

    private fun onProgress(
        state: RolloutState,
        progress: TargetRollout,
        now: Timestamp,
    ): RolloutStep {
        val previous = state.progressByTarget[progress.target]
        val age = previous?.let { now.epochMilliseconds - it.receivedAt.epochMilliseconds } ?: 0
        val replaces = previous == null || progress.statedAt > previous.progress.statedAt ||
            age >= options.silenceMilliseconds
        if (!replaces || progress.target == state.target) return unchanged(state)
        val entry = progress.target to ReceivedProgress(progress, now)
        return unchanged(state.copy(progressByTarget = state.progressByTarget + entry))
    }

    private fun onEnded(
        state: RolloutState,
        event: RolloutEvent.CommandEnded,
        now: Timestamp,
    ): RolloutStep {
        if ((state.stage as? LoadStage.Running)?.command != event.command) return unchanged(state)
        val ended = state.copy(stage = LoadStage.Idle, loaded = event.loaded)
        return when (val result = event.result) {
            LoadResult.Completed -> {
                val clean = ended.copy(failures = 0, failure = null, retryAt = null)
                if (event.command.plan == state.plan?.id) sendNext(clean, now) else unchanged(clean)
            }

            is LoadResult.Failed -> unchanged(afterFailure(ended, result, now))

            is LoadResult.Refused -> unchanged(
                ended.copy(retryAt = now.deadlineAfter(backoffMilliseconds(1))),
            )
        }
    }

    private fun afterFailure(
        state: RolloutState,
        result: LoadResult.Failed,
        now: Timestamp,
    ): RolloutState {
        val failures = state.failures + 1
        val backoff = backoffMilliseconds(failures)
        val wait = result.retryAt?.millisecondsLeft(now) ?: 0
        return state.copy(
            failures = failures,
            failure = result.reason,
            // The weight store may give many targets the same retry time, so a random part of the
            // backoff is added.
            retryAt = now.deadlineAfter(if (wait > 0) wait + backoff / 2 else backoff),
        )
    }

    private fun onTick(state: RolloutState, tick: RolloutEvent.Tick, now: Timestamp): RolloutStep {
        val gap = now.epochMilliseconds - state.lastTickAt.epochMilliseconds
        val paused = gap > options.maxTickGapMilliseconds || !tick.connected
        val current = (if (paused) restartObservation(state, now) else state).copy(lastTickAt = now)
        return when (val stage = current.stage) {
            LoadStage.Idle ->
                if (mayStart(current, now)) beginLoad(current, now) else unchanged(current)

            is LoadStage.Draining ->
                if (tick.inFlight == 0 || stage.until.hasPassed(now)) {
                    sendNext(current, now)
                } else {
                    unchanged(current)
                }

            is LoadStage.Running -> unchanged(current)
        }
    }

    private fun mayStart(state: RolloutState, now: Timestamp): Boolean {
        val observed = now.epochMilliseconds - state.receivingSince.epochMilliseconds
        return state.phase == RolloutPhase.WAITING &&
            state.retryAt?.hasPassed(now) != false &&
            observed >= options.observationMilliseconds &&
            turn.waitingFor(state, now).isEmpty()
    }

    private fun beginLoad(state: RolloutState, now: Timestamp): RolloutStep {
        val command = state.nextCommandOrNull(now.deadlineAfter(options.leaseMilliseconds))
        val serves = state.loaded?.version != null
        if (command == null || !command.interruptsService || !serves) return sendNext(state, now)
        val until = now.deadlineAfter(options.drainMilliseconds)
        return unchanged(state.copy(stage = LoadStage.Draining(until)))
    }

    private fun sendNext(state: RolloutState, now: Timestamp): RolloutStep {
        val command = state.nextCommandOrNull(now.deadlineAfter(options.leaseMilliseconds))
            ?: return unchanged(state.copy(stage = LoadStage.Idle))
        val running = state.copy(stage = LoadStage.Running(command))
        return RolloutStep(running, listOf(RolloutAction.Send(command)))
    }

    /**
     * Discards all received progress and starts a new observation after a gap. If the target was
     * draining, it loses its turn.
     */
    private fun restartObservation(state: RolloutState, now: Timestamp): RolloutState = state.copy(
        progressByTarget = emptyMap(),
        receivingSince = now,
        stage = if (state.stage is LoadStage.Draining) LoadStage.Idle else state.stage,
    )

    /**
     * Inserts a progress report before the actions of [step] if the progress has changed or a
     * repetition is due.
     */
    private fun withReport(step: RolloutStep, now: Timestamp): RolloutStep {
        val state = step.state
        val plan = state.plan ?: return step
        val phase = state.phase ?: return step
        val last = state.lastReported
        val changed = last == null || last.plan != plan.id || last.phase != phase ||
            last.serving != state.serving
        val inProgress = phase == RolloutPhase.WAITING || phase == RolloutPhase.LOADING
        val due = state.nextReportAt?.hasPassed(now) != false &&
            (inProgress || turn.isRolloutActive(state, now))
        if (!changed && !due) return step
        val minStatedAt = (last?.statedAt?.epochMilliseconds ?: 0) + 1
        val progress = TargetRollout(
            state.target,
            plan.revision,
            phase,
            state.serving,
            Timestamp.fromEpochMilliseconds(maxOf(now.epochMilliseconds, minStatedAt)),
            plan.id,
        )
        return RolloutStep(
            state.copy(
                lastReported = progress,
                nextReportAt = now.deadlineAfter(options.reportIntervalMilliseconds),
            ),
            listOf(RolloutAction.ReportProgress(progress)) + step.actions,
        )
    }

    /**
     * Returns the wait before the next attempt. It doubles with each failure, and its random part
     * prevents several targets from retrying at the same time.
     */
    private fun backoffMilliseconds(failures: Int): Long {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val backoff = (options.initialBackoffMilliseconds shl doublings)
            .coerceAtMost(options.maxBackoffMilliseconds)
        return backoff / 2 + random.nextLong(backoff / 2 + 1)
    }

    private fun unchanged(state: RolloutState) = RolloutStep(state, emptyList())

    private companion object {
        /** Prevents the left shift from overflowing into the sign bit. */
        const val MAX_DOUBLINGS = 20
    }
}
