package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Step
import org.vanilladale.schema.Timestamp

/**
 * Health of a rank group, used for routing.
 *
 * @property slow whether the group misses its step deadline or has not recovered yet
 * @property laggingRanks ranks that have not reached the latest step; empty unless the group is
 * slow
 */
public data class GroupHealth(val slow: Boolean, val laggingRanks: Set<Rank>)

/**
 * Detects a stalled rank from the steps that the ranks report.
 *
 * The group is slow when the ranks complete no common step before the step deadline. It is healthy
 * again only after [recoverySteps] steps in time, because a rank that stalls intermittently would
 * otherwise attract new requests after each single step.
 */
public class GroupStepMonitor(
    ranks: Set<Rank>,
    private val stepMilliseconds: Long,
    private val recoverySteps: Long,
    now: Timestamp,
) {
    private val reportedSteps = ranks.associateWith { Step(0) }.toMutableMap()
    private var commonStep = Step(0)
    private var stepDeadline: Deadline = now.deadlineAfter(stepMilliseconds)
    private var slow = false
    private var healthyFromStep = Step(0)

    init {
        require(ranks.isNotEmpty()) { "a rank group needs at least one rank" }
        require(stepMilliseconds > 0) { "stepMilliseconds must be positive" }
    }

    /**
     * Records [step] as the next step of [rank] and returns the health of the group. An older
     * report is ignored.
     */
    public fun report(rank: Rank, step: Step, now: Timestamp): GroupHealth {
        val last = reportedSteps[rank] ?: return health(now)
        reportedSteps[rank] = maxOf(last, step)
        val slowest = reportedSteps.values.min()
        if (slowest > commonStep) {
            if (stepDeadline.hasPassed(now)) markSlow(slowest)
            commonStep = slowest
            stepDeadline = now.deadlineAfter(stepMilliseconds)
            if (slow && commonStep >= healthyFromStep) slow = false
        }
        return health(now)
    }

    /** Returns the health at [now]. The group is marked slow if the step deadline has passed. */
    public fun health(now: Timestamp): GroupHealth {
        if (stepDeadline.hasPassed(now)) markSlow(commonStep)
        if (!slow) return GroupHealth(slow = false, laggingRanks = emptySet())
        val latest = reportedSteps.values.max()
        return GroupHealth(
            slow = true,
            laggingRanks = reportedSteps.filterValues { it < latest }.keys.toSet(),
        )
    }

    private fun markSlow(step: Step) {
        slow = true
        healthyFromStep = Step(step.value + recoverySteps)
    }
}
