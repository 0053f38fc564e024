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
import org.vanilladale.transport.FrameCodec

/**
 * Exchanges beats with the other entries.
 *
 * A beat holds the whole state of its sender, so a lost datagram is made good by the next one. A
 * change is sent at once, but no more often than the number of peers allows.
 */
internal class PeerBeats(
    private val vertx: Vertx,
    private val own: SocketAddressText,
    private val seeds: () -> List<SocketAddressText>,
    private val fleet: Locked<FleetView>,
    private val counters: SystemCounters,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val compose: (peers: List<SocketAddressText>) -> EntryBeat,
    private val onHeard: () -> Unit,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private lateinit var socket: DatagramSocket

    /** Opens the socket and beats until [scope] ends. */
    suspend fun start(scope: CoroutineScope) {
        socket = vertx.createDatagramSocket(DatagramSocketOptions())
        socket.handler(::receive)
        socket.exceptionHandler { counters.event("beat-socket-failed") }
        socket.listen(own.port, own.host).coAwait()
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
            delay(leastInterval())
            withTimeoutOrNull(IDLE_MILLISECONDS) { changes.receive() }
        }
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
        maxOf(LEAST_MILLISECONDS, fleet.use { it.live.size } * PER_PEER_MICROSECONDS / MICROSECONDS)

    /** Sends a beat at once; also to the seeds while they are unknown. */
    fun send() {
        val known = fleet.use { it.addresses() }
        val beat = compose(known.shuffled(random).take(PEERS_IN_BEAT))
        val bytes = Buffer.buffer(FrameCodec.encode(beat))
        (known + seeds()).distinct().filter { it != own }.forEach { sendTo(it, bytes) }
    }

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
            Triple(heard, known, beat.peers.filter { it != own && it !in view.addresses() })
        }
        if (!isNew) return
        if (!isKnown) {
            logPeer(beat, "heard")
            changed()
        }
        // A first word to peers of peers makes them known to each other at once.
        if (strangers.isNotEmpty()) {
            val bytes = Buffer.buffer(FrameCodec.encode(compose(emptyList())))
            strangers.forEach { sendTo(it, bytes) }
        }
        onHeard()
    }

    private fun logPeer(beat: EntryBeat, state: String) {
        log.log(GatewayEvent.Peer(beat.vm.text, state, fleet.use { it.live.size }))
    }

    private companion object {
        /** Age of the news that peers place requests by; about a pass of an engine. */
        const val LEAST_MILLISECONDS = 60L

        /** Keeps sending and receiving beats to a few percent of a core. */
        const val PER_PEER_MICROSECONDS = 1_500L
        const val MICROSECONDS = 1_000L

        /** A quarter of the silence after which a peer counts as lost. */
        const val IDLE_MILLISECONDS = 250L
        const val EXPIRE_MILLISECONDS = 100L
        const val PEERS_IN_BEAT = 6
    }
}
