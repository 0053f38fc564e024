package org.vanilladale.transport

import arrow.core.getOrElse
import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a socket that stays open after its run was cancelled. */
class PeerConnectionTest {
    private fun now() = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())

    private fun network(name: String) = PeerNetwork(
        LocalIdentity(
            PeerIdentity(
                VmId.parse(name),
                Role.ENTRY,
                DataCentreName.parse("lodz-1"),
                Incarnation(1),
            ),
            "secret",
        ),
        ConnectionTiming(heartbeatMilliseconds = 60_000, silenceMilliseconds = 120_000),
        ::now,
    )

    @Test
    fun `the peer of a cancelled run sees the end at once`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val address = SocketAddressText.parse("127.0.0.1:$port")
        val ended = CompletableDeferred<CloseReason>()
        network("server").use { server ->
            network("client").use { client ->
                runBlocking(Dispatchers.Default) {
                    val listening = server.listen(this, address) { connection ->
                        ended.complete(connection.run({ Heartbeat() }) {})
                    }
                    val connection = client.dial(address).getOrElse { error(it.message) }
                    // A coroutine that is cancelled before its dispatch never calls run.
                    launch(start = CoroutineStart.UNDISPATCHED) {
                        connection.run({ Heartbeat() }) {}
                    }.cancelAndJoin()
                    val reason = withTimeout(5_000) { ended.await() }
                    expectThat(reason).isEqualTo(CloseReason.REMOTE)
                    listening.cancel()
                }
            }
        }
    }
}
