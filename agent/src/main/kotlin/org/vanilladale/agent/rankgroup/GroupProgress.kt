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

/** Tracks the steps and holds of all ranks of a group from their reports. */
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

    /** Records [report] and returns true if the rank started or stopped holding. */
    fun report(report: RankReport): Boolean = lock.withLock {
        val now = clock()
        val changed = reports.put(report.rank, report)?.holding != report.holding
        holds.report(report.rank, report.holding, now)
        stepMonitor.report(report.rank, report.step, now)
        // Ranks run in lock-step: no rank enters a step before all have entered the previous one.
        // So a rank's report also proves the progress of the others, and a rank whose agent is
        // down doesn't mark a group as slow that makes progress.
        val completedStep = Step((report.step.value - 1).coerceAtLeast(0))
        (membership.ranks - report.rank).forEach { stepMonitor.report(it, completedStep, now) }
        changed
    }

    /** Returns whether the group completes its steps before their deadline. */
    fun health(): GroupHealth = lock.withLock { stepMonitor.health(clock()) }

    /** Removes the state of [rank], whose agent is disconnected and can't report a hold's end. */
    fun forgetRank(rank: Rank) {
        lock.withLock {
            reports.remove(rank)
            holds.report(rank, false, clock())
        }
    }

    /** Returns the longest time that a rank has been holding, or 0 if no rank holds. */
    fun longestHoldMilliseconds(): Long = lock.withLock { holds.longestMilliseconds(clock()) }

    /** Restarts the measurement of all holds, after an attempt to finish the switch. */
    fun restartHolds() {
        lock.withLock { holds.restart() }
    }

    /** Returns the step times in milliseconds in order of rank, or null until all have reported. */
    fun stepMilliseconds(): List<Double>? = lock.withLock {
        membership.ranks.sorted().map { rank ->
            val report = reports[rank] ?: return null
            report.stepMicroseconds / MICROSECONDS_PER_MILLISECOND
        }
    }

    private companion object {
        /** Number of steps on time after which a slow group receives new work again. */
        const val RECOVERY_STEPS = 20L

        /** Longer than two report intervals, so that one lost report doesn't end a hold. */
        const val HOLD_REPORT_VALIDITY_MILLISECONDS = 5_000L
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
