package org.vanilladale.agent.rankgroup

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.Frame
import org.vanilladale.schema.LeaseRelease
import org.vanilladale.schema.LeaseReply
import org.vanilladale.schema.LeaseRequest
import org.vanilladale.schema.MapAbort
import org.vanilladale.schema.MapArm
import org.vanilladale.schema.MapArmed
import org.vanilladale.schema.MapConfirm
import org.vanilladale.schema.MapPrepare
import org.vanilladale.schema.MapPrepared
import org.vanilladale.schema.MapQuery
import org.vanilladale.schema.MapState
import org.vanilladale.schema.MapWanted
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankReport
import org.vanilladale.schema.Term
import org.vanilladale.schema.Timestamp
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/**
 * Functions of the agent that a group member calls.
 *
 * @property skewWeight returns the weight that the pool gives to step-time skew relative to the
 *   cost of rebalancing
 * @property onHealth called with true while the group misses its step deadline
 * @property onEvent counts an event by name
 */
internal class MemberPorts(
    val network: PeerNetwork,
    val clock: () -> Timestamp,
    val skewWeight: () -> Double,
    val onHealth: (slow: Boolean) -> Unit,
    val onEvent: (String) -> Unit,
)

/**
 * Runs the components of one rank for as long as its [membership] in the tables stays the same.
 */
internal class GroupMember(
    val membership: GroupMembership,
    settings: AgentSettings,
    vertx: Vertx,
    parent: CoroutineScope,
    private val ports: MemberPorts,
) {
    private val job = Job()
    private val scope = parent + job
    private val mapClient = EngineMapClient(vertx, settings.targetUrl)
    private val peers = GroupPeers(membership, ports.network, ::onPeerFrame)
    private val progress = GroupProgress(membership, settings.stepDeadlineMilliseconds, ports.clock)
    private val rank = RankState(
        membership,
        settings.longestLeaseMilliseconds,
        RankPorts({ queue.add(it) }, ::send),
        ports.clock,
    )
    private val queue: EngineQueue = EngineQueue(mapClient, rank)
    private val planner = GroupMapPlanner(membership.ranks.size, settings)
    private val coordinator = GroupCoordinator(
        membership,
        settings,
        progress,
        CoordinatorPorts(
            { peers.connected },
            ::send,
            ::propose,
            planner::onAccepted,
            { queue.status?.readBack?.term ?: Term(0) },
        ),
        ports.clock,
    )

    /** Values of the state metrics by name. */
    val stateCounters: Map<String, Double>
        get() = mapOf(
            "group-frames" to peers.sentFrames.toDouble(),
            "group-bytes" to peers.sentBytes.toDouble(),
            "group-dropped" to rank.droppedCount.toDouble(),
        )

    /** Starts the components in the scope of this member. */
    fun start() {
        peers.start(scope)
        queue.start(scope, ::onStatus)
        scope.launch { coordinator.run() }
        scope.launch { monitor() }
    }

    /** Stops the components and closes the connections to peers. */
    fun stop() {
        job.cancel()
        peers.close()
    }

    /** Serves a connection that a peer has opened. */
    suspend fun serve(connection: PeerConnection) {
        peers.serve(connection)
    }

    private fun onStatus(status: EngineStatus) {
        if (progress.report(reportOf(status))) sendReport(status)
    }

    private suspend fun monitor() {
        var lastReport = ports.clock()
        while (scope.isActive) {
            delay(MONITOR_INTERVAL_MILLISECONDS)
            ports.onHealth(progress.health().slow)
            (membership.peers.keys - peers.connected).forEach { progress.forgetRank(it) }
            val now = ports.clock()
            if (now.millisecondsSince(lastReport) >= REPORT_INTERVAL_MILLISECONDS) {
                lastReport = now
                queue.status?.let { sendReport(it) }
            }
        }
    }

    /**
     * Sends a report to the lowest connected rank, which plans the maps, and to the next one, which
     * takes over when the lowest fails.
     */
    private fun sendReport(status: EngineStatus) {
        val receivers = (peers.connected + membership.rank).sorted().take(REPORT_RECEIVERS)
        (receivers - membership.rank).forEach { peers.send(it, reportOf(status)) }
    }

    private fun reportOf(status: EngineStatus) = RankReport(
        membership.group,
        membership.rank,
        status.readBack.step,
        status.stepMicroseconds,
        status.holding,
    )

    private fun send(to: Rank, frame: Frame) {
        if (to == membership.rank) dispatch(to, frame) else peers.send(to, frame)
    }

    private fun onPeerFrame(from: Rank, frame: Frame) {
        if (senderOf(frame)?.let { it == from } == false) {
            ports.onEvent("group-frame-of-other-rank")
        } else {
            dispatch(from, frame)
        }
    }

    /** Returns the rank that [frame] names as its sender, or null if its type names none. */
    private fun senderOf(frame: Frame): Rank? = when (frame) {
        is LeaseReply -> frame.rank
        is MapPrepared -> frame.rank
        is MapArmed -> frame.rank
        is MapWanted -> frame.rank
        is MapState -> frame.rank
        is MapQuery -> frame.rank
        is RankReport -> frame.rank
        else -> null
    }

    private fun dispatch(from: Rank, frame: Frame) {
        when (frame) {
            is LeaseReply, is MapPrepared, is MapArmed, is MapWanted -> coordinator.receive(frame)

            is MapState -> if (frame.query == HOLDER_QUERY) {
                coordinator.receive(frame)
            } else {
                rank.onFrame(from, frame)
            }

            is LeaseRequest, is LeaseRelease, is MapPrepare, is MapArm, is MapAbort,
            is MapConfirm, is MapQuery,
            -> rank.onFrame(from, frame)

            is RankReport -> progress.report(frame)

            else -> ports.onEvent("frame-unexpected")
        }
    }

    private suspend fun propose(now: Timestamp): GroupProposal? {
        val activeMap = queue.activeMap ?: return null
        if (activeMap.digest != queue.status?.readBack?.activeDigest) return null
        val stepMilliseconds = progress.stepMilliseconds() ?: return null
        val tokens = mapClient.readPopularityOrNull() ?: return null
        return planner.proposeOrNull(activeMap, tokens, stepMilliseconds, ports.skewWeight(), now)
    }

    private companion object {
        /** Query number of a [MapState] that replies to a lease holder. */
        const val HOLDER_QUERY = 0L
        const val MONITOR_INTERVAL_MILLISECONDS = 100L
        const val REPORT_INTERVAL_MILLISECONDS = 2_000L
        const val REPORT_RECEIVERS = 2
    }
}
