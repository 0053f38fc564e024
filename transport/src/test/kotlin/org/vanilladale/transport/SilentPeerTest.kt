package org.vanilladale.transport

import arrow.core.getOrElse
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Role
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isTrue

/** Guards against silent connections that stay in use and slow live peers that are given up. */
class SilentPeerTest {
    private fun now() = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())

    private fun identity(name: String) = LocalIdentity(
        PeerIdentity(
            VmId.parse(name),
            Role.ENTRY,
            DataCentreName.parse("lodz-1"),
            Incarnation(1),
        ),
        "secret",
    )

    /** Dials a peer that welcomes the connection and then does only what [behave] says. */
    private fun <R> withPeer(
        behave: (DataInputStream, DataOutputStream) -> Unit,
        use: suspend CoroutineScope.(PeerConnection) -> R,
    ): R = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        thread(isDaemon = true) {
            val socket = server.accept()
            val input = DataInputStream(socket.getInputStream())
            val output = DataOutputStream(socket.getOutputStream())
            input.readFrame()
            output.writeFrame(identity("peer").welcome())
            behave(input, output)
        }
        val address = SocketAddressText.parse("127.0.0.1:${server.localPort}")
        PeerNetwork(identity("own"), ConnectionTiming(200, 600), ::now).use { network ->
            runBlocking(Dispatchers.Default) {
                use(network.dial(address).getOrElse { error(it.message) })
            }
        }
    }

    private fun DataInputStream.readFrame(): Frame =
        FrameCodec.decode(readNBytes(readInt())).getOrNull() ?: error("broken frame")

    private fun DataOutputStream.writeFrame(frame: Frame) {
        val bytes = FrameCodec.encode(frame)
        writeInt(bytes.size)
        write(bytes)
        flush()
    }

    @Test
    fun `a peer that says nothing is noticed within the silence time`() {
        val started = now()
        val reason = withPeer({ _, _ -> }) { connection ->
            withTimeout(10_000) { connection.run({ Heartbeat() }) {} }
        }
        expectThat(reason).isEqualTo(CloseReason.SILENT)
        expectThat(now().millisecondsSince(started)).isIn(600L..3_000L)
    }

    @Test
    fun `a slow peer that keeps its own interval is not given up`() {
        val stays = withPeer({ _, output ->
            repeat(4) {
                output.writeFrame(Heartbeat(nextMilliseconds = 2_000))
                Thread.sleep(1_800)
            }
        }) { connection ->
            val run = async { connection.run({ Heartbeat() }) {} }
            delay(5_000)
            run.isActive.also { run.cancelAndJoin() }
        }
        expectThat(stays).isTrue()
    }

    @Test
    fun `a probe finds a silent connection long before its silence deadline`() {
        var elapsed = 0L
        val reason = withPeer({ _, output ->
            output.writeFrame(Heartbeat(nextMilliseconds = 60_000))
        }) { connection ->
            val run = async { connection.run({ Heartbeat() }) {} }
            delay(1_500)
            val probedAt = now()
            connection.probeIfQuiet()
            withTimeout(10_000) { run.await() }.also { elapsed = now().millisecondsSince(probedAt) }
        }
        expectThat(reason).isEqualTo(CloseReason.SILENT)
        expectThat(elapsed).isIn(200L..3_000L)
    }

    @Test
    fun `a live peer answers a probe although its own next heartbeat is far off`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val address = SocketAddressText.parse("127.0.0.1:$port")
        val slow = ConnectionTiming(60_000, 120_000)
        val stays = PeerNetwork(identity("peer"), slow, ::now).use { server ->
            PeerNetwork(identity("own"), ConnectionTiming(200, 600), ::now).use { client ->
                runBlocking(Dispatchers.Default) {
                    val listening = server.listen(this, address) { it.run({ Heartbeat() }) {} }
                    val connection = client.dial(address).getOrElse { error(it.message) }
                    val run = async { connection.run({ Heartbeat() }) {} }
                    delay(1_500)
                    connection.probeIfQuiet()
                    delay(1_500)
                    run.isActive.also {
                        run.cancelAndJoin()
                        listening.cancelAndJoin()
                    }
                }
            }
        }
        expectThat(stays).isTrue()
    }
}
