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

/** Outcome of a switch. Log events contain the name of the value in lower case. */
public enum class SwitchResult {
    /** All ranks use the new map from the switch step on. */
    SWITCHED,

    /** No rank was armed, and the old map stays in use. */
    ABANDONED,

    /** A rank may still be held or armed, by this process or by another one. */
    UNSETTLED,
}

/**
 * Switches a group to a new map so that all ranks use the same map in every pass, even if commands
 * are lost or delayed.
 *
 * One rank holds the group before the switch step while all ranks are armed. The hold is released
 * only after every rank is known to be armed. A command may get no answer and still be executed
 * seconds later, a process may pause, and two processes may switch the same group at the same time.
 * Three rules keep this safe:
 *
 * - A version belongs to one map, one process and one switch step. A rank accepts only versions
 *   higher than all versions that it has received, and it can be armed only with the version that
 *   it prepared last.
 * - After a failed switch, a hold is released only after each rank has been disarmed and has
 *   prepared a version higher than the failed one. From then on the ranks reject delayed commands
 *   to arm the failed version.
 * - This cleanup starts only if not all ranks are armed with the same version. It starts at a rank
 *   that is not armed, if there is one, and continues only after that rank has prepared the higher
 *   version. From then on no process can find all ranks armed with an earlier version and release a
 *   hold for it.
 *
 * @param ranks members of the group in the order of their ranks
 * @param holder member of [ranks] that holds the group; different processes use different members
 * @param newVersion returns a version above the given one that no other process uses
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
    /** Version of the latest switch, or 0 before the first one. */
    public var version: Long = 0
        private set

    /**
     * Switches to [maps]. The ranks need about [copyMilliseconds] to load the experts.
     *
     * @param passMilliseconds duration of a pass, or null when it is unknown
     */
    public suspend fun switchTo(
        maps: List<ExpertMap>,
        copyMilliseconds: Long,
        passMilliseconds: Double? = null,
    ): SwitchResult {
        val before = readReports() ?: return SwitchResult.ABANDONED
        if (!before.values.all { it.isSettled }) return SwitchResult.UNSETTLED
        val nextVersion = newVersion(highestVersion(before.values)).also { version = it }
        val isPrepared =
            inParallel(ranks) { sendPrepare(it, RankCommand.Prepare(nextVersion, maps)) }
        if (!isPrepared) return SwitchResult.ABANDONED
        delay(copyMilliseconds)
        val latest = readReports()?.values?.maxOf { it.step.value } ?: return SwitchResult.ABANDONED
        val attempt = holdGroup(latest, passMilliseconds)
        return when (attempt.answer) {
            CommandAnswer.ACCEPTED ->
                if (armAndRelease(
                        nextVersion,
                        attempt.step,
                    )
                ) {
                    SwitchResult.SWITCHED
                } else {
                    SwitchResult.UNSETTLED
                }

            // A delayed copy of the command may still hold the group.
            CommandAnswer.UNANSWERED -> SwitchResult.UNSETTLED

            CommandAnswer.CONFLICT, CommandAnswer.REJECTED -> SwitchResult.ABANDONED
        }
    }

    private class HoldAttempt(val step: Step, val answer: CommandAnswer)

    /**
     * Holds the group at a pass shortly after [latest]. The group may already be past that pass, so
     * the method tries passes further ahead as well.
     */
    private suspend fun holdGroup(latest: Long, passMilliseconds: Double?): HoldAttempt {
        val passesAhead = passMilliseconds?.let { 2 + (COMMAND_LAG_MILLISECONDS / it).toLong() }
        val distance = minOf(passesAhead ?: MAX_PASSES_AHEAD, MAX_PASSES_AHEAD)
        var attempt = HoldAttempt(Step(latest), CommandAnswer.CONFLICT)
        for (factor in holdDistanceFactors) {
            val step = Step(latest + factor * distance)
            attempt = HoldAttempt(step, sendUntilAnswered(holder, RankCommand.Hold(step)))
            if (attempt.answer != CommandAnswer.CONFLICT) break
        }
        return attempt
    }

    /** Arms all ranks and releases the hold. Returns true when all ranks use the new map. */
    private suspend fun armAndRelease(nextVersion: Long, step: Step): Boolean {
        // Reports are delayed, so the answers to these commands show when the copies are complete.
        val isArmed = inParallel(ranks) { armWhenLoaded(it, RankCommand.Arm(nextVersion, step)) }
        // The switch is complete only when the reports show the new version: a report from before
        // the switch step looks like one from a group at rest.
        return isArmed && release(holder, step) &&
            awaitReports(SWITCH_TIMEOUT_MILLISECONDS) { it.mapVersion == nextVersion } != null
    }

    /**
     * Completes or undoes an unfinished switch. Returns true when no rank is held or armed any
     * more.
     */
    public suspend fun recover(): Boolean {
        val found = readReports() ?: return false
        if (found.values.all { it.isSettled }) return true
        val isSafe = found.values.haveSameArmedVersion || disarmAll(found)
        return isSafe && inParallel(ranks) { rank ->
            found.getValue(rank).heldAt?.let { release(rank, it) } ?: true
        }
    }

    /** Returns the reports of all ranks, or null when one is missing or from another formation. */
    public suspend fun readReports(): Map<KnownTarget, RankReport>? {
        val found = coroutineScope {
            ranks.map { rank -> async { rank to port.report(rank) } }.awaitAll()
        }
        val answered = found.mapNotNull { (rank, report) -> report?.let { rank to it } }.toMap()
        val isUsable =
            answered.size == ranks.size && answered.values.all { it.epoch == epoch && it.isOpen }
        return answered.takeIf { isUsable }
    }

    /** Disarms all ranks and makes them reject commands to arm them that are still on their way. */
    private suspend fun disarmAll(found: Map<KnownTarget, RankReport>): Boolean {
        val maps = mapsInUse() ?: return false
        val replacement = RankCommand.Prepare(newVersion(highestVersion(found.values)), maps)
        val first = ranks.firstOrNull { found.getValue(it).armed == null } ?: ranks.first()
        if (!disarmAndPrepare(first, found.getValue(first).armed, replacement)) return false
        return inParallel(ranks - first) {
            disarmAndPrepare(it, found.getValue(it).armed, replacement)
        }
    }

    /** Disarms [rank] and replaces its prepared map, so that no delayed command can arm it. */
    private suspend fun disarmAndPrepare(
        rank: KnownTarget,
        armed: Long?,
        command: RankCommand.Prepare,
    ): Boolean = (armed == null || disarm(rank, armed)) && prepare(rank, command)

    /**
     * Waits until the reports of all ranks satisfy [condition]. Returns null if that takes longer
     * than [milliseconds] or the formation changes.
     */
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

    /**
     * Sends [command]. A conflict after an unanswered attempt counts as success, because it may
     * mean that the earlier attempt was executed.
     */
    private suspend fun sendPrepare(rank: KnownTarget, command: RankCommand.Prepare): Boolean {
        val answer = port.sendCommand(rank, command, epoch)
        if (answer != CommandAnswer.UNANSWERED) return answer == CommandAnswer.ACCEPTED
        return sendUntilAnswered(rank, command) != CommandAnswer.REJECTED
    }

    /**
     * Arms [rank] as soon as its copies are complete. The group is held meanwhile, so slow copying
     * is safe.
     */
    private suspend fun armWhenLoaded(rank: KnownTarget, command: RankCommand.Arm): Boolean {
        val deadline = clock().deadlineAfter(ARM_TIMEOUT_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            when (sendUntilAnswered(rank, command)) {
                CommandAnswer.ACCEPTED -> return true
                CommandAnswer.CONFLICT -> delay(ARM_RETRY_DELAY_MILLISECONDS)
                CommandAnswer.UNANSWERED, CommandAnswer.REJECTED -> return false
            }
        }
        return false
    }

    private suspend fun disarm(rank: KnownTarget, armed: Long): Boolean =
        sendAndConfirm(rank, RankCommand.Disarm(armed)) { it.armed == null }

    private suspend fun prepare(rank: KnownTarget, command: RankCommand.Prepare): Boolean =
        sendAndConfirm(rank, command) { it.prepared == command.version }

    private suspend fun release(rank: KnownTarget, step: Step): Boolean =
        sendAndConfirm(rank, RankCommand.Go(step)) { it.heldAt != step }

    /**
     * Sends [command]. After a conflict, the report of [rank] shows whether an earlier attempt was
     * executed.
     */
    private suspend fun sendAndConfirm(
        rank: KnownTarget,
        command: RankCommand,
        isDone: (RankReport) -> Boolean,
    ): Boolean = when (sendUntilAnswered(rank, command)) {
        CommandAnswer.ACCEPTED -> true

        CommandAnswer.CONFLICT -> {
            delay(MAX_REPORT_AGE_MILLISECONDS)
            port.report(rank)?.let { it.epoch == epoch && isDone(it) } ?: false
        }

        CommandAnswer.UNANSWERED, CommandAnswer.REJECTED -> false
    }

    /** Repeats [command] until it is answered, for at most [COMMAND_TIMEOUT_MILLISECONDS]. */
    private suspend fun sendUntilAnswered(rank: KnownTarget, command: RankCommand): CommandAnswer {
        val deadline = clock().deadlineAfter(COMMAND_TIMEOUT_MILLISECONDS)
        while (!deadline.hasPassed(clock())) {
            val answer = port.sendCommand(rank, command, epoch)
            if (answer != CommandAnswer.UNANSWERED) return answer
        }
        return CommandAnswer.UNANSWERED
    }

    private fun highestVersion(reports: Collection<RankReport>): Long =
        reports.maxOf { maxOf(it.mapVersion, it.prepared ?: 0, it.armed ?: 0) }

    private suspend fun inParallel(
        members: List<KnownTarget>,
        block: suspend (KnownTarget) -> Boolean,
    ): Boolean = coroutineScope { members.map { async { block(it) } }.awaitAll().all { it } }

    private companion object {
        /**
         * Maximum number of passes between the latest report and the switch step. Fewer are used
         * when passes are slow, because fewer begin in the meantime.
         */
        const val MAX_PASSES_AHEAD = 4L

        /**
         * A command to hold the group may arrive after its pass, so each further attempt chooses a
         * later pass.
         */
        val holdDistanceFactors = listOf(1L, 2L, 4L)

        /** Age of a report plus the duration of a command. */
        const val COMMAND_LAG_MILLISECONDS = 300L

        /** Maximum time for which a group is held because copies take longer than expected. */
        const val ARM_TIMEOUT_MILLISECONDS = 800L
        const val ARM_RETRY_DELAY_MILLISECONDS = 30L

        /**
         * Maximum time until an armed and released group reaches the switch step. Passes of a group
         * with a rank that is twelve times slower take half a second.
         */
        const val SWITCH_TIMEOUT_MILLISECONDS = 5_000L
        const val POLL_INTERVAL_MILLISECONDS = 150L

        /** Maximum time for one command. Up to one attempt in three may get no answer. */
        const val COMMAND_TIMEOUT_MILLISECONDS = 2_000L

        /** Reports are up to a few hundred milliseconds old. */
        const val MAX_REPORT_AGE_MILLISECONDS = 500L
    }
}

/** True when all ranks are armed with the same version, so that they switch at the same pass. */
internal val Collection<RankReport>.haveSameArmedVersion: Boolean
    get() = map { it.armed }.distinct().let { it.size == 1 && it.single() != null }
