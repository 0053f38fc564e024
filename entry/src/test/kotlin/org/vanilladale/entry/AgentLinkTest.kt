package org.vanilladale.entry

import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.Answer
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Tests that an attempt whose caller reads nothing does not block the others on its connection. */
class AgentLinkTest {
    private val dataCentre = DataCentreName.parse("lodz-1")
    private val target = TargetId.parse("drafting-0")
    private val slow = RequestId(1)
    private val fast = RequestId(2)
    private val piece = "0123456789".repeat(50)

    private fun network(name: String, role: Role, target: TargetId?) = PeerNetwork(
        LocalIdentity(
            PeerIdentity(VmId.parse(name), role, dataCentre, Incarnation(1), target),
            "secret",
        ),
        ConnectionTiming(heartbeatMilliseconds = 1_000, silenceMilliseconds = 10_000),
        ::systemNow,
    )

    @Test
    fun `an attempt that reads nothing does not delay others and its queue is bounded`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val address = SocketAddressText.parse("127.0.0.1:$port")
        val connected = CompletableDeferred<PeerConnection>()
        val scope = CoroutineScope(Dispatchers.Default)
        network("agent", Role.AGENT, target).use { agent ->
            network("entry", Role.ENTRY, null).use { entry ->
                runBlocking(Dispatchers.Default) {
                    agent.listen(scope, address) { connection ->
                        connected.complete(connection)
                        connection.run({ Heartbeat() }) {}
                    }
                    val ready = CompletableDeferred<Unit>()
                    val link = AgentLink(
                        PoolTarget(target, address, dataCentre),
                        entry,
                        SystemCounters(),
                        { Heartbeat() },
                        { ready.complete(Unit) },
                        {},
                        { _, _ -> },
                        {},
                    )
                    link.start(scope)
                    withTimeout(10_000) { ready.await() }
                    val slowEvents = link.open(slow)
                    val fastEvents = link.open(fast)
                    send(connected.await())
                    withTimeout(20_000) {
                        expectThat(fastEvents.receive()).isA<AttemptEvent.Received>()
                            .get { frame }.isEqualTo(Answer(fast, Attempt(1), 0, "whole"))
                    }
                    val waiting = slowEvents.receive() as AttemptEvent.Received
                    // The queue holds up to 1 MiB in whole pieces; later frames were rejected.
                    expectThat((waiting.frame as Answer).text.length)
                        .isEqualTo(1_048_576 / piece.length * piece.length)
                    expectThat(slowEvents.receive()).isEqualTo(AttemptEvent.Overflowed)
                }
            }
        }
        scope.cancel()
    }

    private suspend fun send(connection: PeerConnection) {
        repeat(FRAMES) {
            connection.send(Answer(slow, Attempt(1), it * piece.length.toLong(), piece))
        }
        connection.send(Answer(fast, Attempt(1), 0, "whole"))
    }

    private companion object {
        /** The frames carry four times the text that the queue may hold. */
        const val FRAMES = 8_400
    }
}
