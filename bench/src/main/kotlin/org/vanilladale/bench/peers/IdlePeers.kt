package org.vanilladale.bench.peers

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Load
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.FrameCodec
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork

/** Bytes of whole frames, the length included, over all peers of the process. */
internal class PeerTraffic {
    data class Snapshot(val connections: Int, val ended: Int, val received: Long, val sent: Long)

    private val connections = AtomicInteger()
    private val ended = AtomicInteger()
    private val received = AtomicLong()
    private val sent = AtomicLong()

    fun opened() {
        connections.incrementAndGet()
    }

    fun closed() {
        connections.decrementAndGet()
        ended.incrementAndGet()
    }

    fun received(frame: Frame) {
        received.addAndGet(sizeOf(frame))
    }

    fun sent(frame: Frame) {
        sent.addAndGet(sizeOf(frame))
    }

    fun snapshot() = Snapshot(connections.get(), ended.get(), received.get(), sent.get())

    private fun sizeOf(frame: Frame) = (FrameCodec.encode(frame).size + Int.SIZE_BYTES).toLong()
}

/** Peers of one role that only send heartbeats. */
internal class IdlePeers(
    private val role: Role,
    private val secret: String,
    private val traffic: PeerTraffic,
) {
    private val network = PeerNetwork(
        identity("peers"),
        ConnectionTiming(HEARTBEAT_MILLISECONDS, SILENCE_MILLISECONDS),
        ::now,
    )

    suspend fun listen(scope: CoroutineScope, name: String, address: SocketAddressText) {
        network.withIdentity(identity(name)).listen(scope, address, ::use)
    }

    suspend fun dialForever(name: String, address: SocketAddressText) {
        val own = network.withIdentity(identity(name))
        while (true) {
            own.dial(address).fold({ delay(REDIAL_MILLISECONDS) }, { use(it) })
        }
    }

    private fun identity(name: String) = LocalIdentity(
        PeerIdentity(
            VmId.parse("vm-$name"),
            role,
            DataCentreName.parse("a"),
            Incarnation(1),
            if (role == Role.AGENT) TargetId.parse(name) else null,
        ),
        secret,
    )

    private suspend fun use(connection: PeerConnection) {
        traffic.opened()
        try {
            connection.run(::heartbeat, traffic::received)
        } finally {
            traffic.closed()
        }
    }

    private fun heartbeat(): Heartbeat {
        val load = Load(1, 0, SLOTS, now(), SERVICE_MICROSECONDS)
        val heartbeat = Heartbeat(load = if (role == Role.AGENT) load else null)
        // The connection adds the time of the next heartbeat; any such time takes as many bytes.
        traffic.sent(heartbeat.copy(nextMilliseconds = TYPICAL_NEXT_MILLISECONDS))
        return heartbeat
    }

    private fun now() = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())

    private companion object {
        const val HEARTBEAT_MILLISECONDS = 1_000L
        const val SILENCE_MILLISECONDS = 3_000L
        const val TYPICAL_NEXT_MILLISECONDS = 30_000L
        const val SLOTS = 8
        const val SERVICE_MICROSECONDS = 800_000L
        const val REDIAL_MILLISECONDS = 500L
    }
}
