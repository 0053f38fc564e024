package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.FreePorts
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.steadyNow
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetShare
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.FrameCodec
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

/** Guards against entries that learn of their peers, or of the loads there, late or not at all. */
class PeerHeartbeatsTest {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher())

    @AfterEach
    fun stop() {
        vertx.close().toCompletionStage().toCompletableFuture().get()
    }

    private fun heartbeat(vm: String, address: SocketAddressText, targets: Int) = EntryBeat(
        VmId.parse(vm),
        address,
        DataCentreName.parse("north"),
        Incarnation(1),
        1,
        EntryPhase.SERVING,
        targets = List(targets) { TargetShare(TargetId.parse("target-$it"), 2, 1, 100) },
    )

    private fun startHeartbeats(
        address: SocketAddressText,
        fleet: Locked<FleetView>,
        onSend: (peers: List<SocketAddressText>) -> Unit = {},
    ) {
        val own = VmId.parse("own")
        val source = HeartbeatSource(own, address, { emptyList() }, { emptySet() }) { peers, _ ->
            onSend(peers)
            heartbeat("own", address, 0)
        }
        val heartbeats = PeerHeartbeats(
            vertx,
            source,
            fleet,
            SystemCounters(),
            GatewayLog(own, EventLog({}, {}), ::steadyNow),
            ::steadyNow,
            Random(1),
            {},
        ) {}
        runBlocking(scope.coroutineContext) { heartbeats.start(scope) }
    }

    @Test
    fun `a heartbeat with the loads of a large fleet arrives whole`() {
        val address = SocketAddressText.parse("127.0.0.1:${FreePorts.take()}")
        val fleet = Locked(FleetView(VmId.parse("own")))
        startHeartbeats(address, fleet)
        val bytes = FrameCodec.encode(heartbeat("peer", address, TARGETS))
        DatagramSocket().use { socket ->
            val loopback = InetAddress.getByName("127.0.0.1")
            socket.send(DatagramPacket(bytes, bytes.size, loopback, address.port))
        }
        runBlocking {
            withTimeout(TEST_MILLISECONDS) {
                while (fleet.use { it.live.isEmpty() }) delay(10)
            }
        }
        val running = fleet.use { view ->
            (0 until TARGETS).sumOf { view.running(TargetId.parse("target-$it")) }
        }
        expectThat(running).isEqualTo(2 * TARGETS)
    }

    // Guards against a new entry that learns of its peers late, because those that told it of
    // others mostly named entries that had been replaced.
    @Test
    fun `a heartbeat names only peers that are live`() {
        val fleet = Locked(FleetView(VmId.parse("own")))
        val live = SocketAddressText.parse("127.0.0.2:${FreePorts.take()}")
        val now = steadyNow()
        val later = Timestamp.fromEpochMilliseconds(now.epochMilliseconds + TEST_MILLISECONDS)
        fleet.use { view ->
            repeat(REPLACED) { index ->
                val replaced = SocketAddressText.parse("127.0.0.2:${FreePorts.take()}")
                view.receive(heartbeat("replaced-$index", replaced, 0), now)
            }
            view.expire(later)
            val peer = heartbeat("live", live, 0)
            view.receive(peer.copy(intervalMilliseconds = TEST_MILLISECONDS), now)
        }
        val named = CompletableFuture<List<SocketAddressText>>()
        val address = SocketAddressText.parse("127.0.0.1:${FreePorts.take()}")
        startHeartbeats(address, fleet) { named.complete(it) }
        expectThat(named.get(TEST_MILLISECONDS, TimeUnit.MILLISECONDS)).containsExactly(live)
    }

    private companion object {
        const val REPLACED = 20

        /** Replicas of the two-year plan. */
        const val TARGETS = 830
        const val TEST_MILLISECONDS = 5_000L
    }
}
