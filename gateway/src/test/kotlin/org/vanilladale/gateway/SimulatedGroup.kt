package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.CommandAnswer
import org.vanilladale.core.groupswitch.RankCommand
import org.vanilladale.core.groupswitch.RankReport
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Step
import org.vanilladale.schema.TargetId

/**
 * Simulates a group of ranks in virtual time. Commands may get no answer and be executed seconds
 * later, and reports are outdated.
 *
 * @param lateShare share of the commands that get no answer and are executed late
 */
internal class SimulatedGroup(
    private val scope: CoroutineScope,
    private val random: Random,
    private val lateShare: Double,
    private val now: () -> Long,
) : RankPort {
    private class RankState {
        var map = 0L
        var highestVersion = 0L
        var prepared: Long? = null
        var preparing: Long? = null
        var armed: Pair<Long, Long>? = null
        var heldAt: Long? = null
    }

    private val states = List(RANKS) { RankState() }
    private val history = ArrayList<Pair<Long, List<RankReport>>>()
    private var step = 0L

    val ranks = List(RANKS) { rank ->
        KnownTarget(
            TargetId.parse("rank-$rank"),
            PoolName.parse("model"),
            SocketAddressText.parse("10.0.0.1:8000"),
            null,
            8,
            leaving = false,
            seat = null,
        )
    }

    /** Number of passes that began with more than one map. */
    var mixedPasses = 0
        private set

    /** Number of passes that began. */
    val passes: Long get() = step

    /** Versions that have been in use. */
    val usedVersions = HashSet<Long>()

    /** Runs passes until the scope ends. */
    suspend fun run() {
        while (true) {
            delay(PASS_MILLISECONDS)
            if (states.none { it.heldAt == step + 1 }) beginPass()
            history += now() to states.map(::snapshot)
            if (history.size > MAX_HISTORY_REPORTS) history.removeAt(0)
        }
    }

    override suspend fun report(rank: KnownTarget): RankReport? {
        delay(1)
        val age = random.nextLong(MAX_REPORT_AGE_MILLISECONDS)
        val reports = history.lastOrNull { it.first <= now() - age } ?: history.firstOrNull()
        return reports?.second?.get(indexOf(rank))
    }

    override suspend fun expertUsage(rank: KnownTarget): ExpertUsage? = null

    override suspend fun loadedExperts(rank: KnownTarget): LoadedExperts? = null

    override suspend fun sendCommand(
        rank: KnownTarget,
        command: RankCommand,
        epoch: Long,
    ): CommandAnswer {
        delay(1)
        val state = states[indexOf(rank)]
        if (random.nextDouble() < lateShare) {
            scope.launch {
                delay(random.nextLong(MIN_LATE_MILLISECONDS, MAX_LATE_MILLISECONDS))
                apply(state, command)
            }
            delay(ANSWER_TIMEOUT_MILLISECONDS)
            return CommandAnswer.UNANSWERED
        }
        return if (apply(state, command)) CommandAnswer.ACCEPTED else CommandAnswer.CONFLICT
    }

    private fun beginPass() {
        step++
        states.forEach { state ->
            val armed = state.armed ?: return@forEach
            if (armed.second == step) {
                state.map = armed.first
                state.armed = null
            }
        }
        if (states.distinctBy { it.map }.size > 1) mixedPasses++
        usedVersions += states.first().map
    }

    private fun apply(state: RankState, command: RankCommand): Boolean = when (command) {
        is RankCommand.Prepare -> prepare(state, command.version)

        is RankCommand.Arm -> arm(state, command)

        is RankCommand.Disarm -> {
            if (state.armed?.first == command.version) state.armed = null
            state.map != command.version
        }

        is RankCommand.Hold -> {
            val isFree = state.heldAt == null || state.heldAt == command.step.value
            val isHeld = isFree && command.step.value > step
            if (isHeld) state.heldAt = command.step.value
            isHeld
        }

        is RankCommand.Go -> {
            val wasHeld = state.heldAt == command.step.value
            if (wasHeld) state.heldAt = null
            wasHeld
        }
    }

    private fun prepare(state: RankState, version: Long): Boolean {
        if (version <= state.highestVersion || state.armed != null) return false
        state.highestVersion = version
        state.prepared = null
        state.preparing = version
        scope.launch {
            delay(random.nextLong(MAX_COPY_MILLISECONDS))
            if (state.preparing == version) state.prepared = version
        }
        return true
    }

    private fun arm(state: RankState, command: RankCommand.Arm): Boolean {
        val requested = command.version to command.step.value
        if (state.armed == requested) return true
        val canArm =
            state.armed == null && state.prepared == command.version && command.step.value > step
        if (canArm) state.armed = requested
        return canArm
    }

    private fun snapshot(state: RankState) = RankReport(
        EPOCH,
        isOpen = true,
        Step(step),
        state.map,
        state.prepared,
        state.armed?.first,
        state.heldAt?.let(::Step),
    )

    private fun indexOf(rank: KnownTarget) = ranks.indexOf(rank)

    companion object {
        const val EPOCH = 1L
        private const val RANKS = 4
        const val PASS_MILLISECONDS = 60L
        private const val MAX_REPORT_AGE_MILLISECONDS = 300L
        private const val MAX_HISTORY_REPORTS = 20
        private const val ANSWER_TIMEOUT_MILLISECONDS = 120L
        private const val MIN_LATE_MILLISECONDS = 50L
        private const val MAX_LATE_MILLISECONDS = 12_000L
        const val MAX_COPY_MILLISECONDS = 700L
    }
}
