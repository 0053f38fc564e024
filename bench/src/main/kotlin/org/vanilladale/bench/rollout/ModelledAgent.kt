package org.vanilladale.bench.rollout

import kotlin.random.Random
import org.vanilladale.bench.routing.VirtualTime
import org.vanilladale.core.rollout.EngineModels
import org.vanilladale.core.rollout.LoadCommand
import org.vanilladale.core.rollout.LoadFailure
import org.vanilladale.core.rollout.LoadResult
import org.vanilladale.core.rollout.Rollout
import org.vanilladale.core.rollout.RolloutAction
import org.vanilladale.core.rollout.RolloutEvent
import org.vanilladale.core.rollout.RolloutOptions
import org.vanilladale.core.rollout.RolloutPlan
import org.vanilladale.core.rollout.RolloutState
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout

/** One target: the decision of its agent on a modelled engine. */
internal class ModelledAgent(
    val target: TargetId,
    private val model: RolloutModel,
    private val time: VirtualTime,
    private val store: ModelledStore,
    private val random: Random,
    private val publish: (TargetRollout) -> Unit,
) {
    private val rollout = Rollout(RolloutOptions(), random)
    private val delayed = mutableListOf<RolloutEvent>()
    private var tables: RolloutPlan? = null
    private var drainedAt = 0L
    private var version: ModelVersion? = null
    var state = RolloutState(target, time.now)
        private set
    var isDead = false
    var isPaused = false
        private set

    /** True while requests can be sent to the target. */
    val serves: Boolean get() = !isDead && !isPaused && state.serving && version != null

    /** True while the target is away for a load. */
    val isAway: Boolean get() = !isDead && state.phase == RolloutPhase.LOADING && !state.serving

    val isDone: Boolean get() = state.phase == RolloutPhase.DONE

    /** Begins with [loaded] in memory and [plan] in force. */
    fun start(plan: RolloutPlan, loaded: ModelVersion?) {
        tables = plan
        version = loaded
        state = RolloutState(target, time.now)
        after(random.nextLong(model.tickMilliseconds), ::tick)
    }

    fun accept(plan: RolloutPlan) {
        tables = plan
    }

    /** Stops the agent; the engine goes on. What arrives meanwhile is handled after the pause. */
    fun pause() {
        isPaused = true
        after(model.pauseMilliseconds) {
            isPaused = false
            delayed.toList().also { delayed.clear() }.forEach(::apply)
        }
    }

    fun apply(event: RolloutEvent) {
        if (isDead) return
        if (isPaused) {
            delayed += event
            return
        }
        val before = state.phase
        val step = rollout.decide(state, event, time.now)
        state = step.state
        if (before != RolloutPhase.LOADING && state.phase == RolloutPhase.LOADING) {
            val drain = if (version == null) 0 else random.nextLong(model.drainMilliseconds)
            drainedAt = time.now.epochMilliseconds + drain
        }
        step.actions.forEach { action ->
            when (action) {
                is RolloutAction.ReportProgress -> publish(action.progress)
                is RolloutAction.Send -> send(action.command)
            }
        }
    }

    private fun tick() {
        if (isDead) return
        if (!isPaused) {
            apply(RolloutEvent.PlanAccepted(tables))
            apply(RolloutEvent.EngineRead(models()))
            val inFlight = if (time.now.epochMilliseconds < drainedAt) 1 else 0
            apply(RolloutEvent.Tick(inFlight, connected = true))
        }
        after(model.tickMilliseconds, ::tick)
    }

    private fun send(command: LoadCommand) {
        val withheld = state.refusalOrNull(command, tables, time.now)
        val retryAt = if (withheld == null) store.refusalOrNull(time.now) else null
        when {
            withheld != null -> end(command, LoadResult.Refused(withheld))

            retryAt != null ->
                end(command, LoadResult.Failed(LoadFailure.WEIGHT_STORE_LIMIT, retryAt))

            else -> {
                version = null
                val quarter = model.readMilliseconds / READ_VARIATION
                val read = model.readMilliseconds + random.nextLong(-quarter, quarter)
                after(read) { store.ended() }
                after(read + model.loadMilliseconds) {
                    version = command.version
                    apply(RolloutEvent.CommandEnded(command, LoadResult.Completed, models()))
                }
            }
        }
    }

    private fun end(command: LoadCommand, result: LoadResult) {
        after(ANSWER_MILLISECONDS) { apply(RolloutEvent.CommandEnded(command, result, models())) }
    }

    private fun models() = EngineModels(version?.let { tables?.model }, version)

    private fun after(milliseconds: Long, run: () -> Unit) {
        time.after(milliseconds * VirtualTime.MICROSECONDS_PER_MILLISECOND, run)
    }

    private companion object {
        const val ANSWER_MILLISECONDS = 5L
        const val READ_VARIATION = 4
    }
}
