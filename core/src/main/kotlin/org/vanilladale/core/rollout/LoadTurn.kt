package org.vanilladale.core.rollout

import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/**
 * Decides whether a target may load now.
 *
 * A unit may load if fewer than [RolloutPlan.maxUnavailable] other units must load first. These are
 * the units that are earlier in the order and not done, the units that are loading, and the units
 * that may not know the plan yet. A unit without a loaded version is already unavailable, so it
 * loads before the units that serve requests.
 *
 * A delayed progress report only makes a target wait longer, because a unit that is done stays done
 * within a plan.
 */
internal class LoadTurn(private val options: RolloutOptions) {
    /**
     * Returns the targets that the target of [state] must wait for. It may load if there are none.
     */
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
        val blockers = plan.units.mapIndexedNotNull { position, unit ->
            if (position == ownPosition) return@mapIndexedNotNull null
            unit.firstOrNull { mustLoadFirst(state, it, position < ownPosition, serves, now) }
        }
        return if (blockers.size < plan.maxUnavailable) emptyList() else blockers
    }

    /**
     * Returns true if another target of the pool recently reported that it is waiting or loading.
     */
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
            // The target may still start a load for its previous plan.
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

    /**
     * Returns true if [target] has reported no progress for [RolloutOptions.silenceMilliseconds],
     * counted from the time at which it had a reason to report.
     */
    private fun isSilent(state: RolloutState, target: TargetId, now: Timestamp): Boolean {
        val since = maxOf(state.receivingSince, state.planAcceptedAt)
        val last = state.progressByTarget[target]?.let { maxOf(it.receivedAt, since) } ?: since
        return now.epochMilliseconds - last.epochMilliseconds >= options.silenceMilliseconds
    }
}
