package org.vanilladale.core.rollout

import org.vanilladale.schema.RolloutPhase
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout
import org.vanilladale.schema.Timestamp

/**
 * Decides whether it is the turn of a target to load.
 *
 * A unit may load while fewer than [RolloutPlan.away] other units stand before it: those earlier in
 * the order that are not done, those that load, and those that may not know the plan yet. Late
 * statements only make a target wait longer, because within one plan a unit that is done stays so.
 * A unit without any loaded version is away already and goes before those that serve.
 */
internal class LoadTurn(private val options: RolloutOptions) {
    /** Returns the targets that keep the target of [state] from loading now; empty for its turn. */
    fun waitingFor(state: RolloutState, now: Timestamp): List<TargetId> {
        val plan = state.plan ?: return emptyList()
        val newer = state.heard.values.filter { isFresh(it, now) && isNewer(it.statement, plan) }
        if (newer.isNotEmpty()) return newer.map { it.statement.target }
        val ownPlace = plan.placeOf(state.target)
        val ownUnit = plan.units[ownPlace]
        val serves = state.loaded?.version != null &&
            ownUnit.none { it != state.target && statementOrNull(state, it, now)?.serving == false }
        val before = plan.units.mapIndexedNotNull { place, unit ->
            if (place == ownPlace) return@mapIndexedNotNull null
            unit.firstOrNull { standsBefore(state, it, place < ownPlace, serves, now) }
        }
        return if (before.size < plan.away) emptyList() else before
    }

    /** Returns true while another target of the pool is heard to be on its way. */
    fun hearsRollout(state: RolloutState, now: Timestamp): Boolean = state.heard.values.any {
        isFresh(it, now) &&
            (
                it.statement.phase == RolloutPhase.WAITING ||
                    it.statement.phase == RolloutPhase.LOADING
                )
    }

    private fun standsBefore(
        state: RolloutState,
        target: TargetId,
        earlier: Boolean,
        serves: Boolean,
        now: Timestamp,
    ): Boolean {
        val statement = statementOrNull(state, target, now) ?: return !isSilent(state, target, now)
        return when {
            // It may still start a load for the plan that it had before.
            statement.plan != state.plan?.id -> true

            statement.phase == RolloutPhase.LOADING -> true

            statement.phase != RolloutPhase.WAITING -> false

            serves -> earlier || !statement.serving

            else -> earlier && !statement.serving
        }
    }

    private fun isNewer(statement: TargetRollout, plan: RolloutPlan): Boolean =
        statement.plan != plan.id && statement.revision > plan.revision

    private fun statementOrNull(
        state: RolloutState,
        target: TargetId,
        now: Timestamp,
    ): TargetRollout? = state.heard[target]?.takeIf { isFresh(it, now) }?.statement

    private fun isFresh(heard: HeardStatement, now: Timestamp): Boolean =
        now.epochMilliseconds - heard.heardAt.epochMilliseconds < options.silenceMilliseconds

    /** Silence counts from the time at which the target had a reason to state its progress. */
    private fun isSilent(state: RolloutState, target: TargetId, now: Timestamp): Boolean {
        val since = maxOf(state.listenedSince, state.planSince)
        val last = state.heard[target]?.let { maxOf(it.heardAt, since) } ?: since
        return now.epochMilliseconds - last.epochMilliseconds >= options.silenceMilliseconds
    }
}
