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
 * What the coordinator needs from the agent.
 *
 * @property connected ranks that can be reached, without the own one
 * @property propose plans a better map; null when there is none
 */
internal class CoordinatorPorts(
    val connected: () -> Set<Rank>,
    val send: (Rank, Frame) -> Unit,
    val propose: suspend (Timestamp) -> GroupProposal?,
    val accepted: (GroupProposal, Timestamp) -> Unit,
    val engineTerm: () -> Term,
)

/**
 * Runs the map switches that this agent coordinates, one after another.
 *
 * The lowest connected rank plans new maps. Any rank finishes or aborts a switch at which a rank
 * holds for too long; ranks with more connected ranks below them wait for more leases.
 */
internal class GroupCoordinator(
    private val place: GroupPlace,
    private val settings: AgentSettings,
    private val view: GroupView,
    private val ports: CoordinatorPorts,
    private val clock: () -> Timestamp,
) {
    /** @property proposal new map; null when an unfinished switch is only finished or aborted */
    private class Run(
        val machine: MapSwitchCoordinator,
        val term: Term,
        val proposal: GroupProposal?,
        val startedAt: Timestamp,
    )

    private val inbox = Channel<Frame>(INBOX_FRAMES)
    private var running: Run? = null
    private var highestTerm = Term(0)
    private var unfinished = false
    private var startAt: Deadline = clock().deadlineAfter(settings.planMilliseconds)
    private var planAt: Deadline = startAt

    private val lowerRanks: Int get() = ports.connected().count { it < place.rank }

    /** Takes a frame of a member. */
    fun receive(frame: Frame) {
        inbox.trySend(frame)
    }

    /** Coordinates until cancelled. */
    suspend fun run() {
        while (true) {
            val wait = if (running == null) IDLE_TICK_MILLISECONDS else TICK_MILLISECONDS
            val frame = withTimeoutOrNull(wait) { inbox.receive() }
            if (frame is LeaseReply) highestTerm = maxOf(highestTerm, frame.highestTerm)
            val run = running
            if (run == null) {
                beginIfDue()
            } else {
                if (frame != null) pass(run, run.machine.onFrame(frame, clock()))
                if (running === run) pass(run, run.machine.tick(clock()))
            }
        }
    }

    private suspend fun beginIfDue() {
        val now = clock()
        if (!startAt.hasPassed(now)) return
        // Without all ranks no lease can be had.
        if (ports.connected().size < place.peers.size) return
        val hold = view.longestHoldMilliseconds()
        val stuck = hold > settings.rankLeaseMilliseconds * (1 + lowerRanks)
        val coordinates = lowerRanks == 0
        if (!coordinates) unfinished = false
        when {
            stuck || unfinished -> begin(null, now)

            coordinates && planAt.hasPassed(now) -> {
                planAt = now.deadlineAfter(settings.planMilliseconds)
                ports.propose(now)?.let { begin(it, clock()) }
            }
        }
    }

    private fun begin(proposal: GroupProposal?, now: Timestamp) {
        val term = Term(maxOf(highestTerm, ports.engineTerm()).value + 1)
        highestTerm = term
        val plan = MapSwitchPlan.plan(place.group, settings.vm, term) {
            val map = proposal?.map ?: GroupMap.of(emptyList())
            placement = MapSwitchPlan.Placement(place.ranks, map, proposal?.base)
            digest = map.digestUnder(term)
            leaseMilliseconds = settings.rankLeaseMilliseconds
        }
        val run = Run(MapSwitchCoordinator(plan, now), term, proposal, now)
        running = run
        pass(run, run.machine.start(clock()))
    }

    private fun pass(run: Run, frames: List<CoordinatorFrame>) {
        val result = run.machine.result
        if (run.proposal == null && run.machine.phase == MapSwitchPhase.PREPARE) {
            val release = LeaseRelease(place.group, settings.vm, run.term)
            place.ranks.forEach { ports.send(it, release) }
            Logger.info { "group: ${place.group} has no unfinished switch under term ${run.term}" }
            finish(unfinishedLeft = false, clock())
            return
        }
        frames.forEach { ports.send(it.rank, it.frame) }
        result?.fold({ failed(run, it) }) {
            val now = clock()
            run.proposal?.let { proposal -> ports.accepted(proposal, now) }
            Logger.info {
                "group: ${place.group} switches to map ${it.digest} at step ${it.switchStep} " +
                    "under term ${run.term} after ${now.millisecondsSince(run.startedAt)} ms"
            }
            finish(unfinishedLeft = false, now)
        }
    }

    private fun failed(run: Run, fault: MapSwitchFault) {
        Logger.warn { "group: term ${run.term} ended without a switch: $fault. ${fault.remedy}" }
        val now = clock()
        val refused = fault as? MapSwitchFault.LeaseRefused
        refused?.let { highestTerm = maxOf(highestTerm, it.highestTerm) }
        val from = refused?.grantedFrom?.let { maxOf(it, now) } ?: now
        finish(unfinishedLeft = fault !is MapSwitchFault.AlreadyActive, from)
    }

    private fun finish(unfinishedLeft: Boolean, from: Timestamp) {
        running = null
        view.restartHolds()
        unfinished = unfinishedLeft
        // Random, so that two coordinators do not refuse each other for ever.
        val pause = Random.nextLong(LEAST_PAUSE_MILLISECONDS, settings.rankLeaseMilliseconds)
        startAt = from.deadlineAfter(if (unfinishedLeft) pause else LEAST_PAUSE_MILLISECONDS)
    }

    private companion object {
        const val IDLE_TICK_MILLISECONDS = 250L
        const val TICK_MILLISECONDS = 20L
        const val LEAST_PAUSE_MILLISECONDS = 50L
        const val INBOX_FRAMES = 1024
    }
}
