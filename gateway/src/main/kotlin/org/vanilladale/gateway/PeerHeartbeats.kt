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
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.FrameCodec

/**
 * What beats need of the entry that sends them.
 *
 * @property address address for the datagrams of peers
 * @property seeds addresses of entries that may be unknown yet
 * @property hurried the entries that need news of the load at once
 * @property compose states what this entry knows, with some peers and the time to its next beat
 */
internal class HeartbeatSource(
    val vm: VmId,
    val address: SocketAddressText,
    val seeds: () -> List<SocketAddressText>,
    val hurried: () -> Set<VmId>,
    val compose: (peers: List<SocketAddressText>, interval: Long) -> EntryBeat,
)

/**
 * Exchanges beats with the other entries.
 *
 * A beat holds the whole state of its sender, so a lost datagram is made good by the next one. A
 * change is sent at once to the entries that place requests by it, but no more often than their
 * number allows; the others hear of it with the next beat to all.
 */
internal class PeerHeartbeats(
    private val vertx: Vertx,
    private val entry: HeartbeatSource,
    private val fleet: Locked<FleetView>,
    private val counters: SystemCounters,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val onHeard: () -> Unit,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private lateinit var socket: DatagramSocket

    /** Opens the socket and beats until [scope] ends. */
    suspend fun start(scope: CoroutineScope) {
        socket = vertx.createDatagramSocket(DatagramSocketOptions())
        socket.handler(::receive)
        socket.exceptionHandler { counters.event("beat-socket-failed") }
        socket.listen(entry.address.port, entry.address.host).coAwait()
        scope.launch { beatForever() }
        scope.launch { expireForever() }
    }

    /** Lets the peers know of a change soon. */
    fun changed() {
        changes.trySend(Unit)
    }

    private suspend fun beatForever() {
        while (true) {
            send()
            val toAll = clock().deadlineAfter(interval())
            while (!toAll.hasPassed(clock())) {
                delay(leastInterval())
                withTimeoutOrNull(toAll.millisecondsLeft(clock())) { changes.receive() }
                    ?.let { sendToHurried() }
            }
        }
    }

    /** An entry that stands by adds no load, so few beats tell that it lives. */
    private fun interval(): Long = if (entry.vm in entry.hurried()) {
        IDLE_MILLISECONDS
    } else {
        maxOf(
            STAND_BY_MILLISECONDS,
            fleet.use { it.live.size } * STAND_BY_PER_PEER_MILLISECONDS,
        )
    }

    private suspend fun expireForever() {
        while (true) {
            delay(EXPIRE_MILLISECONDS)
            val lost = fleet.use { it.expire(clock()) }
            if (lost.isNotEmpty()) onHeard()
            lost.forEach { logPeer(it.beat, "silent") }
        }
    }

    /** Each entry's share of datagrams stays the same as the fleet grows. */
    private fun leastInterval(): Long =
        maxOf(LEAST_MILLISECONDS, entry.hurried().size * PER_PEER_MICROSECONDS / MICROSECONDS)

    /** Sends a beat to all at once; also to the seeds while they are unknown. */
    fun send() {
        val known = fleet.use { it.addresses() }
        val bytes = encoded(known.shuffled(random).take(PEERS_IN_BEAT))
        (known + entry.seeds()).distinct()
            .filter { it != entry.address }
            .forEach { sendTo(it, bytes) }
    }

    private fun sendToHurried() {
        val chosen = entry.hurried()
        val peers = fleet.use { view -> view.live.map { it.beat } }
        val bytes = encoded(emptyList())
        peers.filter { it.vm in chosen }.forEach { sendTo(it.address, bytes) }
    }

    private fun encoded(peers: List<SocketAddressText>) =
        Buffer.buffer(FrameCodec.encode(entry.compose(peers, interval())))

    private fun sendTo(address: SocketAddressText, bytes: Buffer) {
        socket.send(bytes, address.port, address.host)
            .onFailure { counters.event("beat-send-failed") }
    }

    private fun receive(packet: DatagramPacket) {
        FrameCodec.decode(packet.data().bytes).fold(
            { counters.event("beat-malformed") },
            { frame -> if (frame is EntryBeat) hear(frame) else counters.event("beat-unexpected") },
        )
    }

    private fun hear(beat: EntryBeat) {
        val (isNew, isKnown, strangers) = fleet.use { view ->
            val known = view.live.any { it.beat.vm == beat.vm }
            val heard = view.heard(beat, clock())
            val unknown = beat.peers.filter { it != entry.address && it !in view.addresses() }
            Triple(heard, known, unknown)
        }
        if (!isNew) return
        if (!isKnown) {
            logPeer(beat, "heard")
            changed()
        }
        // A first word to peers of peers makes them known to each other at once.
        if (strangers.isNotEmpty()) {
            val bytes = encoded(emptyList())
            strangers.forEach { sendTo(it, bytes) }
        }
        onHeard()
    }

    private fun logPeer(beat: EntryBeat, state: String) {
        log.log(GatewayEvent.PeerState(beat.vm.text, state, fleet.use { it.live.size }))
    }

    private companion object {
        /** Age of the news that peers place requests by; about a pass of an engine. */
        const val LEAST_MILLISECONDS = 60L

        /** Keeps sending and receiving beats to a few percent of a core. */
        const val PER_PEER_MICROSECONDS = 1_500L
        const val MICROSECONDS = 1_000L

        /** A quarter of the silence after which a peer counts as lost. */
        const val IDLE_MILLISECONDS = 250L

        /** The loss of an entry that stands by harms no caller. */
        const val STAND_BY_MILLISECONDS = 1_000L

        /** Keeps the beats of all that stand by to a share of those of the entries in use. */
        const val STAND_BY_PER_PEER_MILLISECONDS = 20L
        const val EXPIRE_MILLISECONDS = 100L
        const val PEERS_IN_BEAT = 6
    }
}
