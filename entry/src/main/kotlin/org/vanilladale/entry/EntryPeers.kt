package org.vanilladale.entry

import io.vertx.core.json.JsonObject
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.vanilladale.core.membership.ConnectionTimes
import org.vanilladale.core.routing.SubsetEntry
import org.vanilladale.runtime.ConfigurationSpread
import org.vanilladale.runtime.PeerDialler
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.EntryStates
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/**
 * Manages the dialled and accepted connections to other entries.
 *
 * @param readVms reads the platform's list of VMs; returns null if it cannot be read
 * @param onFrame handles frames that belong neither to the configuration nor to the membership;
 *   returns false if the frame type is not expected
 */
internal class EntryPeers(
    private val scope: CoroutineScope,
    private val settings: EntrySettings,
    incarnation: Incarnation,
    private val network: PeerNetwork,
    private val spread: ConfigurationSpread,
    private val counters: SystemCounters,
    private val readVms: suspend () -> List<JsonObject>?,
    private val onConnected: (PeerConnection) -> Unit,
    private val onFrame: (Frame) -> Boolean,
    onReplaced: () -> Unit,
    onEntries: (List<SubsetEntry>) -> Unit,
) {
    private val connections = ConcurrentHashMap.newKeySet<PeerConnection>()
    private val dialling = HashMap<SocketAddressText, Job>()

    /** The known entries. */
    val membership = EntryMembership(
        settings,
        incarnation,
        ::systemNow,
        Random.Default,
        onReplaced,
        onEntries,
        ::dial,
    )

    /**
     * Listens for other entries, dials some of them and polls the list of VMs. This entry announces
     * itself to the others once [readiness] is reached.
     */
    suspend fun start(readiness: EntryReadiness) {
        network.listen(scope, settings.peerAddress) { connection ->
            if (connection.remote.role == Role.ENTRY) run(connection) else refuse(connection)
        }
        scope.launch {
            while (isActive) {
                if (readiness.check(systemNow())) membership.announce()
                membership.tick()
                delay(TICK_MILLISECONDS)
            }
        }
        scope.launch {
            while (isActive) {
                readVms()?.let(membership::mergeVmList)
                delay(
                    Random.nextLong(
                        MIN_VM_LIST_INTERVAL_MILLISECONDS,
                        MAX_VM_LIST_INTERVAL_MILLISECONDS,
                    ),
                )
            }
        }
    }

    /** Sends [frame] to every connected entry. */
    fun sendToAll(frame: Frame) {
        connections.forEach { it.trySend(frame) }
    }

    /** Called only by [EntryMembership.tick], so there are no concurrent calls. */
    private fun dial(addresses: Set<SocketAddressText>) {
        (dialling.keys - addresses).forEach { dialling.remove(it)?.cancel() }
        addresses.forEach { address ->
            dialling.getOrPut(address) { scope.launch { dialler(address).run() } }
        }
    }

    private fun dialler(address: SocketAddressText) = PeerDialler(
        network,
        address,
        ConnectionTimes(),
        ::systemNow,
        ::run,
    ) { suspected -> if (suspected) membership.suspect(address) }

    private suspend fun run(connection: PeerConnection) {
        spread.connected(connection)
        membership.connected(connection)
        connections += connection
        onConnected(connection)
        try {
            val reason = connection.run(
                { spread.heartbeat(connection, Heartbeat()) },
            ) { frame -> receive(connection, frame) }
            counters.event("connection-${reason.code}")
        } finally {
            connection.close()
            connections -= connection
            membership.disconnected(connection)
            spread.disconnected(connection)
        }
    }

    private suspend fun receive(connection: PeerConnection, frame: Frame) {
        if (spread.onFrame(connection, frame)) return
        when (frame) {
            is EntryStates -> membership.receive(connection, frame.states)
            is Heartbeat -> Unit
            else -> if (!onFrame(frame)) counters.event("frame-unexpected")
        }
    }

    private fun refuse(connection: PeerConnection) {
        counters.event("peer-unexpected")
        connection.close()
    }

    private companion object {
        const val TICK_MILLISECONDS = 250L
        const val MIN_VM_LIST_INTERVAL_MILLISECONDS = 4_000L
        const val MAX_VM_LIST_INTERVAL_MILLISECONDS = 6_000L
    }
}
