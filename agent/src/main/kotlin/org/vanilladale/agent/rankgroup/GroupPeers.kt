package org.vanilladale.agent.rankgroup

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Rank
import org.vanilladale.schema.RankReport
import org.vanilladale.schema.Role
import org.vanilladale.transport.FrameCodec
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/**
 * Connections to the agents of the other ranks. Each agent opens the connections to the agents of
 * lower ranks.
 */
internal class GroupPeers(
    private val membership: GroupMembership,
    private val network: PeerNetwork,
    private val onFrame: (Rank, Frame) -> Unit,
) {
    private val connections = ConcurrentHashMap<Rank, PeerConnection>()
    private val frameCount = AtomicLong()
    private val byteCount = AtomicLong()

    /** Ranks with an open connection. */
    val connected: Set<Rank> get() = connections.keys

    /** Number of frames sent to other agents for map switches, not counting periodic reports. */
    val sentFrames: Long get() = frameCount.get()

    /** Total size in bytes of the [sentFrames]. */
    val sentBytes: Long get() = byteCount.get()

    /** Connects to the lower ranks in [scope] and reconnects after each loss. */
    fun start(scope: CoroutineScope) {
        membership.peers.filterKeys { it < membership.rank }.forEach { (rank, target) ->
            scope.launch { while (isActive) connectOnce(rank, target) }
        }
    }

    /** Sends [frame] to the agent of [rank]; drops it if there is no connection. */
    fun send(rank: Rank, frame: Frame) {
        val sent = connections[rank]?.trySend(frame) == true
        if (sent && frame !is RankReport) {
            frameCount.incrementAndGet()
            byteCount.addAndGet((FrameCodec.encode(frame).size + Int.SIZE_BYTES).toLong())
        }
    }

    /** Serves a connection that a peer with a higher rank has opened. */
    suspend fun serve(connection: PeerConnection) {
        val rank = membership.rankOfOrNull(connection.remote.target)
        if (rank == null || rank < membership.rank) {
            Logger.warn {
                "group: ${connection.remote.vm} serves ${connection.remote.target}, which has no " +
                    "higher rank in ${membership.group}; correct the pools table"
            }
            connection.close()
        } else {
            runConnection(rank, connection)
        }
    }

    /** Ends all connections. */
    fun close() {
        connections.values.forEach { it.close() }
    }

    private suspend fun connectOnce(rank: Rank, target: PoolTarget) {
        val opened = network.dial(target.agentAddress).getOrNull()
        if (opened == null) {
            delay(REDIAL_DELAY_MILLISECONDS)
        } else if (opened.remote.role != Role.AGENT || opened.remote.target != target.target) {
            Logger.warn {
                "group: ${target.agentAddress} serves ${opened.remote.target}, but the pools " +
                    "table names ${target.target}; correct the table or the agent's settings"
            }
            opened.close()
            delay(REDIAL_DELAY_MILLISECONDS)
        } else {
            runConnection(rank, opened)
            delay(REDIAL_DELAY_MILLISECONDS)
        }
    }

    private suspend fun runConnection(rank: Rank, connection: PeerConnection) {
        connections.put(rank, connection)?.close()
        try {
            connection.run({ Heartbeat() }) { frame ->
                if (frame !is Heartbeat) onFrame(rank, frame)
            }
        } finally {
            connections.remove(rank, connection)
        }
    }

    private companion object {
        const val REDIAL_DELAY_MILLISECONDS = 200L
    }
}
