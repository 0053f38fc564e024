package org.vanilladale.core.rollout

import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/**
 * Decides whether it is the turn of a target to load.
 *
 * A unit may load while fewer than [RolloutPlan.maxUnavailable] other units stand before it: those earlier in
 * the order that are not done, those that load, and those that may not know the plan yet. Late
 * statements only make a target wait longer, because within one plan a unit that is done stays so.
 * A unit without any loaded version is away already and goes before those that serve.
 */
internal class LoadTurn(private val options: RolloutOptions) {
    /** Returns the targets that keep the target of [state] from loading now; empty for its turn. */
    fun waitingFor(state: RolloutState, now: Timestamp): List<TargetId> {
        val plan = state.plan ?: return emptyList()
        val newer = state.progressByTarget.values.filter {
            isFresh(it, now) &&
                isNewer(it.progress, plan)
        }
        if (newer.isNotEmpty()) return newer.map { it.progress.target }
        val ownPosition = plan.positionOf(state.target)
        val ownUnit = plan.units[ownPosition]
        val serves = state.loaded?.version != null &&
            ownUnit.none { it != state.target && progressOrNull(state, it, now)?.serving == false }
        val before = plan.units.mapIndexedNotNull { position, unit ->
            if (position == ownPosition) return@mapIndexedNotNull null
            unit.firstOrNull { mustLoadFirst(state, it, position < ownPosition, serves, now) }
        }
        return if (before.size < plan.maxUnavailable) emptyList() else before
    }

    /** Returns true while another target of the pool is heard to be on its way. */
    fun isRolloutActive(state: RolloutState, now: Timestamp): Boolean =
        state.progressByTarget.values.any {
            isFresh(it, now) &&
                (
                    it.progress.phase == RolloutPhase.WAITING ||
                        it.progress.phase == RolloutPhase.LOADING
                    )
        }

    private fun mustLoadFirst(
        state: RolloutState,
        target: TargetId,
        earlier: Boolean,
        serves: Boolean,
        now: Timestamp,
    ): Boolean {
        val progress = progressOrNull(state, target, now) ?: return !isSilent(state, target, now)
        return when {
            // It may still start a load for the plan that it had before.
            progress.plan != state.plan?.id -> true

            progress.phase == RolloutPhase.LOADING -> true

            progress.phase != RolloutPhase.WAITING -> false

            serves -> earlier || !progress.serving

            else -> earlier && !progress.serving
        }
    }

    private fun isNewer(progress: TargetRollout, plan: RolloutPlan): Boolean =
        progress.plan != plan.id && progress.revision > plan.revision

    private fun progressOrNull(
        state: RolloutState,
        target: TargetId,
        now: Timestamp,
    ): TargetRollout? = state.progressByTarget[target]?.takeIf { isFresh(it, now) }?.progress

    private fun isFresh(received: ReceivedProgress, now: Timestamp): Boolean =
        now.epochMilliseconds - received.receivedAt.epochMilliseconds < options.silenceMilliseconds

    /** Silence counts from the time at which the target had a reason to state its progress. */
    private fun isSilent(state: RolloutState, target: TargetId, now: Timestamp): Boolean {
        val since = maxOf(state.receivingSince, state.planAcceptedAt)
        val last = state.progressByTarget[target]?.let { maxOf(it.receivedAt, since) } ?: since
        return now.epochMilliseconds - last.epochMilliseconds >= options.silenceMilliseconds
    }
}
