package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Step
import org.vanilladale.schema.Timestamp

/**
 * Health of a rank group for routing.
 *
 * @property behind ranks that have not reached the latest step; empty while the group is healthy
 */
public data class GroupHealth(val slow: Boolean, val behind: Set<Rank>)

/**
 * Sees a stalled rank from the steps that the ranks report.
 *
 * The group is slow when no common step completes before the step deadline. It is healthy again
 * only after [recoverySteps] steps in time, because a rank that stalls on and off would otherwise
 * attract new work after each single step.
 */
public class GroupStepWatch(
    ranks: Set<Rank>,
    private val stepMilliseconds: Long,
    private val recoverySteps: Long,
    now: Timestamp,
) {
    private val reported = ranks.associateWith { Step(0) }.toMutableMap()
    private var common = Step(0)
    private var stepDeadline: Deadline = now.deadlineAfter(stepMilliseconds)
    private var slow = false
    private var healthyFrom = Step(0)

    init {
        require(ranks.isNotEmpty()) { "a rank group needs at least one rank" }
        require(stepMilliseconds > 0) { "stepMilliseconds must be positive" }
    }

    /** Takes the next step of [rank]; an older report changes nothing. */
    public fun report(rank: Rank, step: Step, now: Timestamp): GroupHealth {
        val last = reported[rank] ?: return health(now)
        reported[rank] = maxOf(last, step)
        val slowest = reported.values.min()
        if (slowest > common) {
            if (stepDeadline.hasPassed(now)) markSlow(slowest)
            common = slowest
            stepDeadline = now.deadlineAfter(stepMilliseconds)
            if (slow && common >= healthyFrom) slow = false
        }
        return health(now)
    }

    /** Returns the health at [now]; a passed step deadline marks the group slow. */
    public fun health(now: Timestamp): GroupHealth {
        if (stepDeadline.hasPassed(now)) markSlow(common)
        if (!slow) return GroupHealth(slow = false, behind = emptySet())
        val latest = reported.values.max()
        return GroupHealth(slow = true, behind = reported.filterValues { it < latest }.keys.toSet())
    }

    private fun markSlow(step: Step) {
        slow = true
        healthyFrom = Step(step.value + recoverySteps)
    }
}
