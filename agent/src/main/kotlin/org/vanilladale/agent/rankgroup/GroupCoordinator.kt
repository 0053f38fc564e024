package org.vanilladale.agent.rankgroup

import kotlin.random.Random
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import org.vanilladale.core.rankgroup.CoordinatorFrame
import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.core.rankgroup.MapSwitchCoordinator
import org.vanilladale.core.rankgroup.MapSwitchFault
import org.vanilladale.core.rankgroup.MapSwitchPhase
import org.vanilladale.core.rankgroup.MapSwitchPlan
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Frame
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp

/**
 * Functions of the agent that the coordinator calls.
 *
 * @property connected returns the other ranks that have an open connection to this one
 * @property propose plans a better map, or returns null if there is none
 * @property onAccepted called when the group switches to a proposal
 * @property engineTerm returns the term that the engine last reported, or 0 if there is none
 */
internal class CoordinatorPorts(
    val connected: () -> Set<Rank>,
    val send: (Rank, Frame) -> Unit,
    val propose: suspend (Timestamp) -> GroupProposal?,
    val onAccepted: (GroupProposal, Timestamp) -> Unit,
    val engineTerm: () -> Term,
)

/**
 * Runs the map switches that this agent coordinates, one at a time.
 *
 * The lowest connected rank plans new maps. Any rank finishes or aborts a switch for which a rank
 * has been holding too long. A rank first waits for one lease period, and one more for each
 * connected rank below it, so that the ranks don't all start at once.
 */
internal class GroupCoordinator(
    private val membership: GroupMembership,
    private val settings: AgentSettings,
    private val progress: GroupProgress,
    private val ports: CoordinatorPorts,
    private val clock: () -> Timestamp,
) {
    /** @property proposal new map; null if an unfinished switch is only finished or aborted */
    private class SwitchRun(
        val stateMachine: MapSwitchCoordinator,
        val term: Term,
        val proposal: GroupProposal?,
        val startedAt: Timestamp,
    )

    private val inbox = Channel<Frame>(INBOX_CAPACITY)
    private var running: SwitchRun? = null
    private var highestTerm = Term(0)
    private var hasUnfinishedSwitch = false
    private var nextStartAt: Deadline = clock().deadlineAfter(settings.planMilliseconds)
    private var nextPlanAt: Deadline = nextStartAt

    private val lowerRanks: Int get() = ports.connected().count { it < membership.rank }

    /** Queues a frame of a member; drops it if the inbox is full. */
    fun receive(frame: Frame) {
        inbox.trySend(frame)
    }

    /** Coordinates switches until the calling coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val wait = if (running == null) IDLE_TICK_MILLISECONDS else TICK_MILLISECONDS
            val frame = withTimeoutOrNull(wait) { inbox.receive() }
            if (frame is LeaseReply) highestTerm = maxOf(highestTerm, frame.highestTerm)
            val run = running
            if (run == null) {
                startIfDue()
            } else {
                if (frame != null) process(run, run.stateMachine.onFrame(frame, clock()))
                if (running === run) process(run, run.stateMachine.tick(clock()))
            }
        }
    }

    private suspend fun startIfDue() {
        val now = clock()
        if (!nextStartAt.hasPassed(now)) return
        // A lease needs the grants of all ranks.
        if (ports.connected().size < membership.peers.size) return
        val longestHold = progress.longestHoldMilliseconds()
        val isStuck = longestHold > settings.rankLeaseMilliseconds * (1 + lowerRanks)
        val isPlanner = lowerRanks == 0
        if (!isPlanner) hasUnfinishedSwitch = false
        when {
            isStuck || hasUnfinishedSwitch -> start(null, now)

            isPlanner && nextPlanAt.hasPassed(now) -> {
                nextPlanAt = now.deadlineAfter(settings.planMilliseconds)
                ports.propose(now)?.let { start(it, clock()) }
            }
        }
    }

    private fun start(proposal: GroupProposal?, now: Timestamp) {
        val term = Term(maxOf(highestTerm, ports.engineTerm()).value + 1)
        highestTerm = term
        val plan = MapSwitchPlan.plan(membership.group, settings.vm, term) {
            val map = proposal?.map ?: GroupMap.of(emptyList())
            placement = MapSwitchPlan.Placement(membership.ranks, map, proposal?.base)
            digest = map.digestUnder(term)
            leaseMilliseconds = settings.rankLeaseMilliseconds
        }
        val run = SwitchRun(MapSwitchCoordinator(plan, now), term, proposal, now)
        running = run
        process(run, run.stateMachine.start(clock()))
    }

    private fun process(run: SwitchRun, frames: List<CoordinatorFrame>) {
        val result = run.stateMachine.result
        if (run.proposal == null && run.stateMachine.phase == MapSwitchPhase.PREPARE) {
            val release = LeaseRelease(membership.group, settings.vm, run.term)
            membership.ranks.forEach { ports.send(it, release) }
            Logger.info {
                "group: ${membership.group} has no unfinished switch under term ${run.term}"
            }
            finish(remainsUnfinished = false, clock())
            return
        }
        frames.forEach { ports.send(it.rank, it.frame) }
        result?.fold({ onFailed(run, it) }) {
            val now = clock()
            run.proposal?.let { proposal -> ports.onAccepted(proposal, now) }
            Logger.info {
                "group: ${membership.group} activates map ${it.digest} at step ${it.switchStep} " +
                    "under term ${run.term} after ${now.millisecondsSince(run.startedAt)} ms"
            }
            finish(remainsUnfinished = false, now)
        }
    }

    private fun onFailed(run: SwitchRun, fault: MapSwitchFault) {
        Logger.warn { "group: switch under term ${run.term} failed: $fault. ${fault.remedy}" }
        val now = clock()
        val refused = fault as? MapSwitchFault.LeaseRefused
        refused?.let { highestTerm = maxOf(highestTerm, it.highestTerm) }
        val from = refused?.grantedFrom?.let { maxOf(it, now) } ?: now
        finish(remainsUnfinished = fault !is MapSwitchFault.AlreadyActive, from)
    }

    private fun finish(remainsUnfinished: Boolean, from: Timestamp) {
        running = null
        progress.restartHolds()
        hasUnfinishedSwitch = remainsUnfinished
        // A random pause keeps two coordinators from blocking each other repeatedly.
        val pause = Random.nextLong(MIN_PAUSE_MILLISECONDS, settings.rankLeaseMilliseconds)
        nextStartAt = from.deadlineAfter(if (remainsUnfinished) pause else MIN_PAUSE_MILLISECONDS)
    }

    private companion object {
        const val IDLE_TICK_MILLISECONDS = 250L
        const val TICK_MILLISECONDS = 20L
        const val MIN_PAUSE_MILLISECONDS = 50L
        const val INBOX_CAPACITY = 1024
    }
}
