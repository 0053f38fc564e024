package org.vanilladale.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.CommandAnswer
import org.vanilladale.core.groupswitch.RankCommand
import org.vanilladale.core.groupswitch.RankReport
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.Step
import org.vanilladale.schema.Timestamp

/** How a switch ended. */
public enum class SwitchResult {
    /** All ranks use the new map from the switch step on. */
    SWITCHED,

    /** Nothing was armed; the old map stays in use. */
    ABANDONED,

    /** The group was left held or armed, by another process or by this one. */
    UNSETTLED,
}

/**
 * Switches a group to a new map so that no pass begins with two maps, whatever is lost or late.
 *
 * One rank holds the group before the switch step while the ranks are armed one and all; the hold
 * ends only when each rank is known to be armed. Orders stay without an answer and are carried out
 * seconds later, processes pause, and two of them may be at it at once. Three facts keep that safe:
 *
 * - A version belongs to one map, one process and one switch step, and a rank takes only versions
 *   above all that it has had. A rank is armed only with the version that it prepared last.
 * - A hold ends after a failed switch only when each rank was disarmed and has prepared a version
 *   above the failed one. Late copies of the orders to arm it are refused from then on.
 * - That clean-up begins only when not all ranks are armed with one version, at a rank which is
 *   not armed if there is any, and goes on only when that rank has prepared the higher version.
 *   From then on no process can find all ranks armed with an earlier one and end a hold for it.
 *
 * @param ranks members of the group in the order of their ranks
 * @param holder member of [ranks] that holds the group; processes use different ones
 * @param newVersion returns a version that no other process uses, above the given one
 * @param mapsInUse returns the maps that the group uses, or null when they can't be read
 */
public class MapSwitch(
    private val port: RankPort,
    private val ranks: List<KnownTarget>,
    private val epoch: Long,
    private val holder: KnownTarget,
    private val clock: () -> Timestamp,
    private val newVersion: (above: Long) -> Long,
    private val mapsInUse: suspend () -> List<ExpertMap>?,
) {
    /** Version of the last switch; 0 before the first one. */
    public var version: Long = 0
        private set

    /**
     * Switches to [maps], for which the ranks load experts for about [copyMilliseconds].
     *
     * @param passMilliseconds duration of a pass, or null when it is not known
     */
    public suspend fun run(
        maps: List<ExpertMap>,
        copyMilliseconds: Long,
        passMilliseconds: Double? = null,
    ): SwitchResult {
        val before = reports() ?: return SwitchResult.ABANDONED
        if (!before.values.all { it.isSettled }) return SwitchResult.UNSETTLED
        val wanted = newVersion(highestVersion(before.values)).also { version = it }
        val isTaken = inParallel(ranks) { takesPrepare(it, RankCommand.Prepare(wanted, maps)) }
        if (!isTaken) return SwitchResult.ABANDONED
        delay(copyMilliseconds)
        val latest = reports()?.values?.maxOf { it.step.value } ?: return SwitchResult.ABANDONED
        val held = hold(latest, passMilliseconds)
        return when (held.answer) {
            CommandAnswer.ACCEPTED ->
                if (armAndRelease(
                        wanted,
                        held.step,
                    )
                ) {
                    SwitchResult.SWITCHED
                } else {
                    SwitchResult.UNSETTLED
                }

            // A late copy may still hold the group.
            CommandAnswer.UNANSWERED -> SwitchResult.UNSETTLED

            CommandAnswer.CONFLICT, CommandAnswer.REJECTED -> SwitchResult.ABANDONED
        }
    }

    private class HeldStep(val step: Step, val answer: CommandAnswer)

    /** Holds the group at a pass soon after [latest], which it may have passed by now. */
    private suspend fun hold(latest: Long, passMilliseconds: Double?): HeldStep {
        val soonest = passMilliseconds?.let { 2 + (REPORT_AGE_MILLISECONDS / it).toLong() }
        val ahead = minOf(soonest ?: MOST_AHEAD, MOST_AHEAD)
        var held = HeldStep(Step(latest), CommandAnswer.CONFLICT)
        for (times in holdAttempts) {
            val step = Step(latest + times * ahead)
            held = HeldStep(step, give(holder, RankCommand.Hold(step)))
            if (held.answer != CommandAnswer.CONFLICT) break
        }
        return held
    }

    /** Arms all ranks and ends the hold; true when all of them use the new map. */
    private suspend fun armAndRelease(wanted: Long, step: Step): Boolean {
        // Reports lag, so the answers to these orders tell when the copies are complete.
        val isArmed = inParallel(ranks) { armOnceLoaded(it, RankCommand.Arm(wanted, step)) }
        // Reports of before the switch step would look like those of a group at rest.
        return isArmed && release(holder, step) &&
            awaitAll(SWITCH_MILLISECONDS) { it.mapVersion == wanted } != null
    }

    /** Ends a switch that was left half done; true when no rank is held or armed any more. */
    public suspend fun recover(): Boolean {
        val found = reports() ?: return false
        if (found.values.all { it.isSettled }) return true
        val isSafe = found.values.isArmedAlike || cleanUp(found)
        return isSafe && inParallel(ranks) { rank ->
            found.getValue(rank).heldAt?.let { release(rank, it) } ?: true
        }
    }

    /** Returns the reports of all ranks, or null when one is missing or of another formation. */
    public suspend fun reports(): Map<KnownTarget, RankReport>? {
        val found = coroutineScope {
            ranks.map { rank -> async { rank to port.report(rank) } }.awaitAll()
        }
        val whole = found.mapNotNull { (rank, report) -> report?.let { rank to it } }.toMap()
        val usable = whole.size == ranks.size && whole.values.all { it.epoch == epoch && it.isOpen }
        return whole.takeIf { usable }
    }

    /** Disarms all ranks and voids orders to arm them that may still come. */
    private suspend fun cleanUp(found: Map<KnownTarget, RankReport>): Boolean {
        val maps = mapsInUse() ?: return false
        val void = RankCommand.Prepare(newVersion(highestVersion(found.values)), maps)
        val first = ranks.firstOrNull { found.getValue(it).armed == null } ?: ranks.first()
        if (!void(first, found.getValue(first).armed, void)) return false
        return inParallel(ranks - first) { void(it, found.getValue(it).armed, void) }
    }

    /** Leaves [rank] without an armed map, and without one that a late order could arm. */
    private suspend fun void(rank: KnownTarget, armed: Long?, order: RankCommand.Prepare): Boolean =
        (armed == null || disarm(rank, armed)) && prepare(rank, order)

    /** Waits until the reports of all ranks fulfil [condition]; null when they don't in time. */
    private suspend fun awaitAll(
        milliseconds: Long,
        condition: (RankReport) -> Boolean,
    ): Map<KnownTarget, RankReport>? {
        val deadline = clock().deadlineAfter(milliseconds)
        val fulfilled = HashMap<KnownTarget, RankReport>()
        while (!deadline.hasPassed(clock())) {
            delay(POLL_MILLISECONDS)
            val asked = ranks.filter { it !in fulfilled }
            val found = coroutineScope {
                asked.map { rank -> async { rank to port.report(rank) } }.awaitAll()
            }
            for ((rank, report) in found) {
                if (report == null) continue
                if (report.epoch != epoch || !report.isOpen) return null
                if (condition(report)) fulfilled[rank] = report
            }
            if (fulfilled.size == ranks.size) return fulfilled
        }
        return null
    }

    /** A conflict after a copy without an answer may only show that the copy was carried out. */
    private suspend fun takesPrepare(rank: KnownTarget, order: RankCommand.Prepare): Boolean {
        val answer = port.order(rank, order, epoch)
        if (answer != CommandAnswer.UNANSWERED) return answer == CommandAnswer.ACCEPTED
        return give(rank, order) != CommandAnswer.REJECTED
    }

    /** Arms [rank] as soon as its copies are complete; the hold lets it take its time. */
    private suspend fun armOnceLoaded(rank: KnownTarget, order: RankCommand.Arm): Boolean {
        val deadline = clock().deadlineAfter(ARM_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            when (give(rank, order)) {
                CommandAnswer.ACCEPTED -> return true
                CommandAnswer.CONFLICT -> delay(ARM_RETRY_MILLISECONDS)
                CommandAnswer.UNANSWERED, CommandAnswer.REJECTED -> return false
            }
        }
        return false
    }

    private suspend fun disarm(rank: KnownTarget, armed: Long): Boolean =
        given(rank, RankCommand.Disarm(armed)) { it.armed == null }

    private suspend fun prepare(rank: KnownTarget, order: RankCommand.Prepare): Boolean =
        given(rank, order) { it.prepared == order.version }

    private suspend fun release(rank: KnownTarget, step: Step): Boolean =
        given(rank, RankCommand.Go(step)) { it.heldAt != step }

    /** Gives [order]; after a conflict the reports tell whether an earlier copy was carried out. */
    private suspend fun given(
        rank: KnownTarget,
        order: RankCommand,
        isDone: (RankReport) -> Boolean,
    ): Boolean = when (give(rank, order)) {
        CommandAnswer.ACCEPTED -> true

        CommandAnswer.CONFLICT -> {
            delay(REPORT_LAG_MILLISECONDS)
            port.report(rank)?.let { it.epoch == epoch && isDone(it) } ?: false
        }

        CommandAnswer.UNANSWERED, CommandAnswer.REJECTED -> false
    }

    /** Repeats [order] until there is an answer, or for [ORDER_MILLISECONDS]. */
    private suspend fun give(rank: KnownTarget, order: RankCommand): CommandAnswer {
        val deadline = clock().deadlineAfter(ORDER_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            val answer = port.order(rank, order, epoch)
            if (answer != CommandAnswer.UNANSWERED) return answer
        }
        return CommandAnswer.UNANSWERED
    }

    private fun highestVersion(reports: Collection<RankReport>): Long =
        reports.maxOf { maxOf(it.mapVersion, it.prepared ?: 0, it.armed ?: 0) }

    private suspend fun inParallel(
        some: List<KnownTarget>,
        block: suspend (KnownTarget) -> Boolean,
    ): Boolean = coroutineScope { some.map { async { block(it) } }.awaitAll().all { it } }

    private companion object {
        /** Passes from the last report to the switch; with slow passes fewer begin meanwhile. */
        const val MOST_AHEAD = 4L

        /** An attempt to hold the group may come after its pass; each later one looks further. */
        val holdAttempts = listOf(1L, 2L, 4L)

        /** Age of a report and the time of an order. */
        const val REPORT_AGE_MILLISECONDS = 300L

        /** Longest time for which a group may be held because a copy takes longer than expected. */
        const val ARM_MILLISECONDS = 800L
        const val ARM_RETRY_MILLISECONDS = 30L

        /**
         * Longest time until the switch step of a group that is armed and free. Passes of a group
         * with a rank that is twelve times slower last half a second.
         */
        const val SWITCH_MILLISECONDS = 5_000L
        const val POLL_MILLISECONDS = 150L

        /** Longest time for one order; one in three may stay without an answer. */
        const val ORDER_MILLISECONDS = 2_000L

        /** Reports are up to some hundred ms old. */
        const val REPORT_LAG_MILLISECONDS = 500L
    }
}

/** True when all ranks are armed with one version, so that they switch at the same pass. */
internal val Collection<RankReport>.isArmedAlike: Boolean
    get() = map { it.armed }.distinct().let { it.size == 1 && it.single() != null }
