package org.vanilladale.agent.rankgroup

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.vanilladale.core.rankgroup.GroupHealth
import org.vanilladale.core.rankgroup.GroupStepMonitor
import org.vanilladale.core.rankgroup.HoldTracker
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankReport
import org.vanilladale.schema.Step
import org.vanilladale.schema.Timestamp

/** What this agent knows of the progress of all ranks of its group. */
internal class GroupProgress(
    private val membership: GroupMembership,
    stepDeadlineMilliseconds: Long,
    private val clock: () -> Timestamp,
) {
    private val lock = ReentrantLock()
    private val reports = HashMap<Rank, RankReport>()
    private val holds = HoldTracker(HOLD_REPORT_VALIDITY_MILLISECONDS)
    private val stepMonitor =
        GroupStepMonitor(membership.ranks, stepDeadlineMilliseconds, RECOVERY_STEPS, clock())

    /** Takes a report; returns true when the rank started or stopped to hold. */
    fun report(report: RankReport): Boolean = lock.withLock {
        val now = clock()
        val changed = reports.put(report.rank, report)?.holding != report.holding
        holds.report(report.rank, report.holding, now)
        stepMonitor.report(report.rank, report.step, now)
        // In lock-step no rank enters a step before all have entered the one before it. So a rank
        // whose agent is down does not make a group slow that makes progress.
        val completedStep = Step((report.step.value - 1).coerceAtLeast(0))
        (membership.ranks - report.rank).forEach { stepMonitor.report(it, completedStep, now) }
        changed
    }

    /** Returns whether the group completes its steps in time. */
    fun health(): GroupHealth = lock.withLock { stepMonitor.health(clock()) }

    /** Forgets the hold of [rank], whose agent can no longer report the end of it. */
    fun forgetRank(rank: Rank) {
        lock.withLock {
            reports.remove(rank)
            holds.report(rank, false, clock())
        }
    }

    /** Returns the time for which a rank has been holding, the longest of all; 0 if none does. */
    fun longestHoldMilliseconds(): Long = lock.withLock { holds.longestMilliseconds(clock()) }

    /** Counts all holds anew, after a try to finish the switch. */
    fun restartHolds() {
        lock.withLock { holds.restart() }
    }

    /** Returns the step times by rank in milliseconds, or null until all ranks have reported. */
    fun stepMilliseconds(): List<Double>? = lock.withLock {
        membership.ranks.sorted().map { rank ->
            val report = reports[rank] ?: return null
            report.stepMicroseconds / MICROSECONDS_PER_MILLISECOND
        }
    }

    private companion object {
        /** Steps in time before a slow group gets new work again. */
        const val RECOVERY_STEPS = 20L

        /** Longer than two intervals of the reports. */
        const val HOLD_REPORT_VALIDITY_MILLISECONDS = 5_000L
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
