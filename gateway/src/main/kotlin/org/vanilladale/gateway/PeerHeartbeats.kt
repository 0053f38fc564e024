package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramPacket
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.datagram.DatagramSocketOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.FrameCodec

/**
 * Properties of the entry that sends heartbeats.
 *
 * @property address address for the datagrams of peers
 * @property seeds addresses of entries that may not be known yet
 * @property loadSubscribers returns the entries that need load changes immediately
 * @property createHeartbeat creates a heartbeat with the state of this entry, the addresses of some
 *   peers and the time until its next heartbeat
 */
internal class HeartbeatSource(
    val vm: VmId,
    val address: SocketAddressText,
    val seeds: () -> List<SocketAddressText>,
    val loadSubscribers: () -> Set<VmId>,
    val createHeartbeat: (peers: List<SocketAddressText>, interval: Long) -> EntryBeat,
)

/**
 * Exchanges heartbeats with the other entries.
 *
 * A heartbeat contains the complete state of its sender, so the next one makes up for a lost
 * datagram. A change is sent at once to the load subscribers, at a rate that is limited by their
 * number. The other entries receive it with the next heartbeat to all peers.
 */
internal class PeerHeartbeats(
    private val vertx: Vertx,
    private val entry: HeartbeatSource,
    private val fleet: Locked<FleetView>,
    private val counters: SystemCounters,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val onSuspects: (List<SuspectTrait>) -> Unit,
    private val onPeerUpdate: () -> Unit,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private lateinit var socket: DatagramSocket

    /** Opens the socket and exchanges heartbeats until [scope] ends. */
    suspend fun start(scope: CoroutineScope) {
        // The default cuts datagrams off after 2 KB, the loads of a hundred targets.
        val options = DatagramSocketOptions().setReceiveBufferSize(MAX_DATAGRAM_BYTES)
        socket = vertx.createDatagramSocket(options)
        socket.handler(::receive)
        socket.exceptionHandler { counters.event("beat-socket-failed") }
        socket.listen(entry.address.port, entry.address.host).coAwait()
        scope.launch { sendPeriodically() }
        scope.launch { expirePeriodically() }
    }

    /** Requests that a change of this entry's state is sent to the load subscribers soon. */
    fun announceChange() {
        changes.trySend(Unit)
    }

    private suspend fun sendPeriodically() {
        while (true) {
            send()
            val sendToAllAt = clock().deadlineAfter(nextInterval())
            while (!sendToAllAt.hasPassed(clock())) {
                delay(minInterval())
                withTimeoutOrNull(sendToAllAt.millisecondsLeft(clock())) { changes.receive() }
                    ?.let { sendToLoadSubscribers() }
            }
        }
    }

    /**
     * Returns the time until the next heartbeat to all peers. A standby entry adds no load, so it
     * sends only enough heartbeats to show that it is alive.
     */
    private fun nextInterval(): Long = if (entry.vm in entry.loadSubscribers()) {
        ACTIVE_INTERVAL_MILLISECONDS
    } else {
        maxOf(
            STANDBY_INTERVAL_MILLISECONDS,
            fleet.use { it.live.size } * STANDBY_INTERVAL_PER_PEER_MILLISECONDS,
        )
    }

    private suspend fun expirePeriodically() {
        while (true) {
            delay(EXPIRY_CHECK_MILLISECONDS)
            val lost = fleet.use { it.expire(clock()) }
            if (lost.isNotEmpty()) onPeerUpdate()
            lost.forEach { logPeer(it.heartbeat, "silent") }
        }
    }

    /**
     * Returns the minimum time between heartbeats to load subscribers. It grows with their number,
     * so that the datagram rate per entry stays constant.
     */
    private fun minInterval(): Long = maxOf(
        MIN_INTERVAL_MILLISECONDS,
        entry.loadSubscribers().size * MIN_INTERVAL_PER_SUBSCRIBER_MILLISECONDS,
    )

    /**
     * Sends a heartbeat immediately to all peers, and to seeds that are not known yet. It names
     * only live peers, because most lost ones have ended and a new entry would learn little.
     */
    fun send() {
        val (live, known) = fleet.use { view ->
            view.live.map { it.heartbeat.address } to view.addresses()
        }
        val bytes = encoded(live.shuffled(random).take(MAX_PEERS_PER_HEARTBEAT))
        (known + entry.seeds()).distinct()
            .filter { it != entry.address }
            .forEach { sendTo(it, bytes) }
    }

    private fun sendToLoadSubscribers() {
        val subscribers = entry.loadSubscribers()
        val peers = fleet.use { view -> view.live.map { it.heartbeat } }
        val bytes = encoded(emptyList())
        peers.filter { it.vm in subscribers }.forEach { sendTo(it.address, bytes) }
    }

    private fun encoded(peers: List<SocketAddressText>) =
        Buffer.buffer(FrameCodec.encode(entry.createHeartbeat(peers, nextInterval())))

    private fun sendTo(address: SocketAddressText, bytes: Buffer) {
        socket.send(bytes, address.port, address.host)
            .onFailure { counters.event("beat-send-failed") }
    }

    private fun receive(packet: DatagramPacket) {
        FrameCodec.decode(packet.data().bytes).fold(
            { counters.event("beat-malformed") },
            { data -> if (data is EntryBeat) process(data) else counters.event("beat-unexpected") },
        )
    }

    private fun process(heartbeat: EntryBeat) {
        val (isNew, isKnown, unknownPeers) = fleet.use { view ->
            val wasKnown = view.live.any { it.heartbeat.vm == heartbeat.vm }
            val isUpdate = view.receive(heartbeat, clock())
            val unknown = heartbeat.peers.filter { it != entry.address && it !in view.addresses() }
            Triple(isUpdate, wasKnown, unknown)
        }
        if (!isNew) return
        if (heartbeat.suspects.isNotEmpty()) onSuspects(heartbeat.suspects)
        if (!isKnown) {
            logPeer(heartbeat, "heard")
            announceChange()
        }
        // Peers that are known only through other peers get a heartbeat, so that they discover this
        // entry at once.
        if (unknownPeers.isNotEmpty()) {
            val bytes = encoded(emptyList())
            unknownPeers.forEach { sendTo(it, bytes) }
        }
        onPeerUpdate()
    }

    private fun logPeer(heartbeat: EntryBeat, state: String) {
        log.log(GatewayEvent.PeerState(heartbeat.vm.text, state, fleet.use { it.live.size }))
    }

    private companion object {
        /**
         * Age of the load data that peers use to assign requests. It is about the duration of an
         * engine's pass.
         */
        const val MIN_INTERVAL_MILLISECONDS = 60L

        /**
         * Keeps the datagrams that an entry sends, and those that it receives, at about 140 per
         * second, however many subscribers there are.
         */
        const val MIN_INTERVAL_PER_SUBSCRIBER_MILLISECONDS = 7L

        /** A quarter of the silence after which a peer is considered lost. */
        const val ACTIVE_INTERVAL_MILLISECONDS = 250L

        /** Standby entries may send less often, because losing one affects no caller. */
        const val STANDBY_INTERVAL_MILLISECONDS = 1_000L

        /**
         * Limits the heartbeats of all standby entries to a fraction of those of the active
         * entries.
         */
        const val STANDBY_INTERVAL_PER_PEER_MILLISECONDS = 20L
        const val EXPIRY_CHECK_MILLISECONDS = 100L

        /** Limit of UDP over IPv4. */
        const val MAX_DATAGRAM_BYTES = 65_507
        const val MAX_PEERS_PER_HEARTBEAT = 6
    }
}
