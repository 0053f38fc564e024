package org.vanilladale.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.OrderAnswer
import org.vanilladale.core.groupswitch.RankOrder
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
    public suspend fun switchTo(
        maps: List<ExpertMap>,
        copyMilliseconds: Long,
        passMilliseconds: Double? = null,
    ): SwitchResult {
        val before = readReports() ?: return SwitchResult.ABANDONED
        if (!before.values.all { it.isClean }) return SwitchResult.UNSETTLED
        val nextVersion = newVersion(highestVersion(before.values)).also { version = it }
        val isPrepared = inParallel(ranks) { sendPrepare(it, RankOrder.Prepare(nextVersion, maps)) }
        if (!isPrepared) return SwitchResult.ABANDONED
        delay(copyMilliseconds)
        val latest = readReports()?.values?.maxOf { it.step.value } ?: return SwitchResult.ABANDONED
        val attempt = holdGroup(latest, passMilliseconds)
        return when (attempt.answer) {
            OrderAnswer.ACCEPTED ->
                if (armAndRelease(
                        nextVersion,
                        attempt.step,
                    )
                ) {
                    SwitchResult.SWITCHED
                } else {
                    SwitchResult.UNSETTLED
                }

            // A late copy may still hold the group.
            OrderAnswer.UNANSWERED -> SwitchResult.UNSETTLED

            OrderAnswer.CONFLICT, OrderAnswer.REJECTED -> SwitchResult.ABANDONED
        }
    }

    private class HoldAttempt(val step: Step, val answer: OrderAnswer)

    /** Holds the group at a pass soon after [latest], which it may have passed by now. */
    private suspend fun holdGroup(latest: Long, passMilliseconds: Double?): HoldAttempt {
        val passesAhead = passMilliseconds?.let {
            2 +
                (REPORT_AND_COMMAND_DELAY_MILLISECONDS / it).toLong()
        }
        val distance = minOf(passesAhead ?: MAX_PASSES_AHEAD, MAX_PASSES_AHEAD)
        var attempt = HoldAttempt(Step(latest), OrderAnswer.CONFLICT)
        for (factor in holdDistanceFactors) {
            val step = Step(latest + factor * distance)
            attempt = HoldAttempt(step, sendUntilAnswered(holder, RankOrder.Hold(step)))
            if (attempt.answer != OrderAnswer.CONFLICT) break
        }
        return attempt
    }

    /** Arms all ranks and ends the hold; true when all of them use the new map. */
    private suspend fun armAndRelease(nextVersion: Long, step: Step): Boolean {
        // Reports lag, so the answers to these orders tell when the copies are complete.
        val isArmed = inParallel(ranks) { armWhenLoaded(it, RankOrder.Arm(nextVersion, step)) }
        // Reports of before the switch step would look like those of a group at rest.
        return isArmed && release(holder, step) &&
            awaitReports(SWITCH_TIMEOUT_MILLISECONDS) { it.mapVersion == nextVersion } != null
    }

    /** Ends a switch that was left half done; true when no rank is held or armed any more. */
    public suspend fun recover(): Boolean {
        val found = readReports() ?: return false
        if (found.values.all { it.isClean }) return true
        val isSafe = found.values.haveSameArmedVersion || disarmAll(found)
        return isSafe && inParallel(ranks) { rank ->
            found.getValue(rank).heldAt?.let { release(rank, it) } ?: true
        }
    }

    /** Returns the reports of all ranks, or null when one is missing or of another formation. */
    public suspend fun readReports(): Map<KnownTarget, RankReport>? {
        val found = coroutineScope {
            ranks.map { rank -> async { rank to port.report(rank) } }.awaitAll()
        }
        val answered = found.mapNotNull { (rank, report) -> report?.let { rank to it } }.toMap()
        val isUsable =
            answered.size == ranks.size && answered.values.all { it.epoch == epoch && it.isOpen }
        return answered.takeIf { isUsable }
    }

    /** Disarms all ranks and voids orders to arm them that may still come. */
    private suspend fun disarmAll(found: Map<KnownTarget, RankReport>): Boolean {
        val maps = mapsInUse() ?: return false
        val replacement = RankOrder.Prepare(newVersion(highestVersion(found.values)), maps)
        val first = ranks.firstOrNull { found.getValue(it).armed == null } ?: ranks.first()
        if (!disarmAndPrepare(first, found.getValue(first).armed, replacement)) return false
        return inParallel(ranks - first) {
            disarmAndPrepare(it, found.getValue(it).armed, replacement)
        }
    }

    /** Leaves [rank] without an armed map, and without one that a late order could arm. */
    private suspend fun disarmAndPrepare(
        rank: KnownTarget,
        armed: Long?,
        command: RankOrder.Prepare,
    ): Boolean = (armed == null || disarm(rank, armed)) && prepare(rank, command)

    /** Waits until the reports of all ranks fulfil [condition]; null when they don't in time. */
    private suspend fun awaitReports(
        milliseconds: Long,
        condition: (RankReport) -> Boolean,
    ): Map<KnownTarget, RankReport>? {
        val deadline = clock().deadlineAfter(milliseconds)
        val fulfilled = HashMap<KnownTarget, RankReport>()
        while (!deadline.hasPassed(clock())) {
            delay(POLL_INTERVAL_MILLISECONDS)
            val pending = ranks.filter { it !in fulfilled }
            val found = coroutineScope {
                pending.map { rank -> async { rank to port.report(rank) } }.awaitAll()
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
    private suspend fun sendPrepare(rank: KnownTarget, command: RankOrder.Prepare): Boolean {
        val answer = port.sendCommand(rank, command, epoch)
        if (answer != OrderAnswer.UNANSWERED) return answer == OrderAnswer.ACCEPTED
        return sendUntilAnswered(rank, command) != OrderAnswer.REJECTED
    }

    /** Arms [rank] as soon as its copies are complete; the hold lets it take its time. */
    private suspend fun armWhenLoaded(rank: KnownTarget, command: RankOrder.Arm): Boolean {
        val deadline = clock().deadlineAfter(ARM_TIMEOUT_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            when (sendUntilAnswered(rank, command)) {
                OrderAnswer.ACCEPTED -> return true
                OrderAnswer.CONFLICT -> delay(ARM_RETRY_DELAY_MILLISECONDS)
                OrderAnswer.UNANSWERED, OrderAnswer.REJECTED -> return false
            }
        }
        return false
    }

    private suspend fun disarm(rank: KnownTarget, armed: Long): Boolean =
        sendAndConfirm(rank, RankOrder.Disarm(armed)) { it.armed == null }

    private suspend fun prepare(rank: KnownTarget, command: RankOrder.Prepare): Boolean =
        sendAndConfirm(rank, command) { it.prepared == command.version }

    private suspend fun release(rank: KnownTarget, step: Step): Boolean =
        sendAndConfirm(rank, RankOrder.Go(step)) { it.heldAt != step }

    /** Gives [command]; after a conflict the reports tell whether an earlier copy was carried out. */
    private suspend fun sendAndConfirm(
        rank: KnownTarget,
        command: RankOrder,
        isDone: (RankReport) -> Boolean,
    ): Boolean = when (sendUntilAnswered(rank, command)) {
        OrderAnswer.ACCEPTED -> true

        OrderAnswer.CONFLICT -> {
            delay(MAX_REPORT_AGE_MILLISECONDS)
            port.report(rank)?.let { it.epoch == epoch && isDone(it) } ?: false
        }

        OrderAnswer.UNANSWERED, OrderAnswer.REJECTED -> false
    }

    /** Repeats [command] until there is an answer, or for [COMMAND_TIMEOUT_MILLISECONDS]. */
    private suspend fun sendUntilAnswered(rank: KnownTarget, command: RankOrder): OrderAnswer {
        val deadline = clock().deadlineAfter(COMMAND_TIMEOUT_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            val answer = port.sendCommand(rank, command, epoch)
            if (answer != OrderAnswer.UNANSWERED) return answer
        }
        return OrderAnswer.UNANSWERED
    }

    private fun highestVersion(reports: Collection<RankReport>): Long =
        reports.maxOf { maxOf(it.mapVersion, it.prepared ?: 0, it.armed ?: 0) }

    private suspend fun inParallel(
        members: List<KnownTarget>,
        block: suspend (KnownTarget) -> Boolean,
    ): Boolean = coroutineScope { members.map { async { block(it) } }.awaitAll().all { it } }

    private companion object {
        /** Passes from the last report to the switch; with slow passes fewer begin meanwhile. */
        const val MAX_PASSES_AHEAD = 4L

        /** An attempt to hold the group may come after its pass; each later one looks further. */
        val holdDistanceFactors = listOf(1L, 2L, 4L)

        /** Age of a report and the time of an order. */
        const val REPORT_AND_COMMAND_DELAY_MILLISECONDS = 300L

        /** Longest time for which a group may be held because a copy takes longer than expected. */
        const val ARM_TIMEOUT_MILLISECONDS = 800L
        const val ARM_RETRY_DELAY_MILLISECONDS = 30L

        /**
         * Longest time until the switch step of a group that is armed and free. Passes of a group
         * with a rank that is twelve times slower last half a second.
         */
        const val SWITCH_TIMEOUT_MILLISECONDS = 5_000L
        const val POLL_INTERVAL_MILLISECONDS = 150L

        /** Longest time for one order; one in three may stay without an answer. */
        const val COMMAND_TIMEOUT_MILLISECONDS = 2_000L

        /** Reports are up to some hundred ms old. */
        const val MAX_REPORT_AGE_MILLISECONDS = 500L
    }
}

/** True when all ranks are armed with one version, so that they switch at the same pass. */
internal val Collection<RankReport>.haveSameArmedVersion: Boolean
    get() = map { it.armed }.distinct().let { it.size == 1 && it.single() != null }
