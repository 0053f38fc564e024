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
    /** All ranks, in the order in which they are asked for a report until one answers. */
    private val reporters = listOf(holder) + (ranks - holder)

    /** Version of the latest switch, or 0 before the first one. */
    public var version: Long = 0
        private set

    /**
     * Switches to [maps]. The ranks need about [copyMilliseconds] to load the experts.
     *
     * The ranks load the experts while the group runs. The hold is placed at the pass that begins
     * next when they are loaded, so that most switches do not delay that pass.
     * No reports of all ranks are read on the way, because in a group of a hundred ranks that takes
     * longer than the rest: a rank that another process has changed rejects a command.
     */
    public suspend fun switchTo(maps: List<ExpertMap>, copyMilliseconds: Long): SwitchResult {
        val nextVersion = newVersion(0).also { version = it }
        val prepare = RankCommand.Prepare(nextVersion, maps)
        if (!inParallel(ranks) { sendPrepare(it, prepare) }) return SwitchResult.ABANDONED
        val loadedAt = clock().deadlineAfter(copyMilliseconds)
        delay(copyMilliseconds)
        val latest = latestStepOrNull() ?: return SwitchResult.ABANDONED
        val attempt = holdGroup(latest)
        return when (attempt.answer) {
            CommandAnswer.ACCEPTED -> {
                delay(loadedAt.millisecondsLeft(clock()))
                val isSwitched = armAndRelease(nextVersion, attempt.step)
                if (isSwitched) SwitchResult.SWITCHED else SwitchResult.UNSETTLED
            }

            // A delayed copy of the command may still hold the group.
            CommandAnswer.UNANSWERED -> SwitchResult.UNSETTLED

            CommandAnswer.CONFLICT, CommandAnswer.REJECTED -> SwitchResult.ABANDONED
        }
    }

    private class HoldAttempt(val step: Step, val answer: CommandAnswer)

    /** Returns the last pass that the group is known to have begun, or null without a report. */
    private suspend fun latestStepOrNull(): Long? {
        for (rank in reporters.take(MAX_REPORT_ATTEMPTS)) {
            val report = port.report(rank) ?: continue
            return report.step.value.takeIf { report.epoch == epoch && report.isOpen }
        }
        return null
    }

    /**
     * Holds the group at the pass that begins next. The group has begun some passes since [latest]
     * was reported. A command for one of them is rejected at once, which takes far less time than
     * a pass, so the passes are tried one after another.
     */
    private suspend fun holdGroup(latest: Long): HoldAttempt {
        var attempt = HoldAttempt(Step(latest), CommandAnswer.CONFLICT)
        for (distance in 1..MAX_PASSES_SINCE_REPORT) {
            val step = Step(latest + distance)
            attempt = HoldAttempt(step, sendUntilAnswered(holder, RankCommand.Hold(step)))
            if (attempt.answer != CommandAnswer.CONFLICT) break
        }
        return attempt
    }

    /** Arms all ranks and releases the hold. Returns true when all ranks use the new map. */
    private suspend fun armAndRelease(nextVersion: Long, step: Step): Boolean {
        // Reports are delayed, so the answers to these commands show when the copies are complete.
        val isArmed = inParallel(ranks) { armWhenLoaded(it, RankCommand.Arm(nextVersion, step)) }
        return isArmed && release(holder, step) && awaitMap(nextVersion)
    }

    /**
     * Waits until one rank reports [expected] as its map. All ranks are armed for one step, so the
     * others use it as well then; before that a report looks like one from a group at rest.
     */
    private suspend fun awaitMap(expected: Long): Boolean {
        val deadline = clock().deadlineAfter(SWITCH_TIMEOUT_MILLISECONDS)
        var missing = 0
        while (!deadline.hasPassed(clock())) {
            delay(POLL_INTERVAL_MILLISECONDS)
            val report = port.report(reporters[missing % ranks.size])
            when {
                report == null -> missing++
                report.epoch != epoch || !report.isOpen -> return false
                report.mapVersion == expected -> return true
            }
        }
        return false
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
        val found = ranks.collectAnswers { port.report(it) } ?: return null
        return found.takeIf { it.values.all { report -> report.epoch == epoch && report.isOpen } }
    }

    /** Disarms all ranks and makes them reject commands to arm them that are still on their way. */
    private suspend fun disarmAll(found: Map<KnownTarget, RankReport>): Boolean {
        val maps = mapsInUse() ?: return false
        val replacement =
            RankCommand.Prepare(newVersion(found.values.maxOf { it.highestVersion }), maps)
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

    private suspend fun inParallel(
        members: List<KnownTarget>,
        block: suspend (KnownTarget) -> Boolean,
    ): Boolean = coroutineScope { members.map { async { block(it) } }.awaitAll().all { it } }

    private companion object {
        /** Passes that a group without requests begins while a report is half a second old. */
        const val MAX_PASSES_SINCE_REPORT = 24

        /** Number of ranks that are asked for the latest step. */
        const val MAX_REPORT_ATTEMPTS = 4

        /** Maximum time for which a group is held because copies take longer than expected. */
        const val ARM_TIMEOUT_MILLISECONDS = 800L
        const val ARM_RETRY_DELAY_MILLISECONDS = 30L

        /**
         * Maximum time until an armed and released group reaches the switch step. Passes of a group
         * with a rank that is twelve times slower take half a second.
         */
        const val SWITCH_TIMEOUT_MILLISECONDS = 5_000L
        const val POLL_INTERVAL_MILLISECONDS = 100L

        /** Maximum time for one command. Up to one attempt in three may get no answer. */
        const val COMMAND_TIMEOUT_MILLISECONDS = 2_000L

        /** Reports are up to a few hundred milliseconds old. */
        const val MAX_REPORT_AGE_MILLISECONDS = 500L
    }
}

/** True when all ranks are armed with the same version, so that they switch at the same pass. */
internal val Collection<RankReport>.haveSameArmedVersion: Boolean
    get() = map { it.armed }.distinct().let { it.size == 1 && it.single() != null }
