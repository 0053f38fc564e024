package org.vanilladale.systemtests

import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.nio.ByteBuffer
import java.util.zip.CRC32C
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Hello
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.Role
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import org.vanilladale.transport.FrameCodec
import org.vanilladale.transport.LocalIdentity
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against input that stops a process or disturbs requests of others. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MalformedInputTest {
    private val fleet = Fleet()
    private val peerPorts = listOf("agent-orders-0", "peer-entry-0")
    private val operators = listOf("agent-operator-orders-0", "operator-entry-0")

    @BeforeAll
    fun start() {
        val routes = """[{"name": "stock", "kind": "stock", "pool": "orders", "idempotent": true,
            "path": "/stock", "deadlineMilliseconds": 10000}]"""
        val pools = """[{"name": "orders", "type": "service", "targets": [
            {"target": "orders-0", "agentAddress": "${fleet.address("agent-orders-0")}",
             "dataCentre": "lodz-1"}]}]"""
        fleet.startConfiguration(routes, pools)
        fleet.startService("orders-0")
        fleet.startEntry("entry-0", fields = "\"bodyMilliseconds\": 1000")
        fleet.await("the first look-up") { lookUp("warm-up") == 200 }
    }

    @AfterAll
    fun stop() {
        fleet.close()
    }

    private fun lookUp(key: String) = fleet.send("entry-0", "stock", key, "").statusCode()

    @Test
    fun `a request that is refused at once leaves no fault in the log`() {
        val refused = fleet.send("entry-0", "unknown-kind", "refused-1", "")
        expectThat(refused.statusCode()).isEqualTo(404)
        expectThat(lookUp("after-refusal")).isEqualTo(200)
        val log = fleet.processes.getValue("entry-0").log.readText()
        expectThat(log).not().contains("Response has already been written")
    }

    private fun hello(secret: String, protocol: Int = LocalIdentity.PROTOCOL_VERSION) =
        FrameCodec.encode(
            Hello(
                protocol = protocol,
                role = Role.ENTRY,
                sender = VmId.parse("tester"),
                secret = secret,
                dataCentre = DataCentreName.parse("lodz-1"),
                incarnation = Incarnation(7),
            ),
        )

    private fun DataOutputStream.frame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    /** Returns true when the process at [port] closes the connection after what [write] sent. */
    private fun isClosedAfter(port: String, write: DataOutputStream.() -> Unit): Boolean =
        Socket(InetAddress.getLoopbackAddress(), fleet.port(port)).use { socket ->
            socket.soTimeout = CLOSE_MILLISECONDS
            try {
                DataOutputStream(socket.getOutputStream()).apply(write).flush()
                while (socket.getInputStream().read() >= 0) Unit
                true
            } catch (_: SocketTimeoutException) {
                false
            } catch (_: IOException) {
                true
            }
        }

    @Test
    fun `connections without a valid hello are closed and look-ups go on`() {
        val cases = mapOf<String, DataOutputStream.() -> Unit>(
            "random text" to { write("GET / HTTP/1.1\r\n\r\n".toByteArray()) },
            "length of zero" to { writeInt(0) },
            "negative length" to { writeInt(-1) },
            "length above the limit" to { writeInt(Int.MAX_VALUE) },
            "frame that ends early" to {
                writeInt(100)
                write(ByteArray(10))
            },
            "wrong checksum" to { frame(hello("secret").also { it[0] = 1 }) },
            "wrong secret" to { frame(hello("other")) },
            "other protocol version" to { frame(hello("secret", protocol = 99)) },
        )
        val open = peerPorts.flatMap { port ->
            cases.filterNot { (_, write) -> isClosedAfter(port, write) }.map { port to it.key }
        }
        expectThat(open).isEqualTo(emptyList())
        expectThat(lookUp("after-hello")).isEqualTo(200)
    }

    @Test
    fun `malformed frames after the hello close their connection only and are counted`() {
        val cases = mapOf<String, DataOutputStream.() -> Unit>(
            "length above the limit" to { writeInt(FrameCodec.MAXIMUM_FRAME_BYTES + 1) },
            "random bytes" to { frame(ByteArray(64) { it.toByte() }) },
            "unknown type" to { frame(changedLeaving("Leaving", "Departs")) },
            "unknown field" to { frame(changedLeaving("\u0002\u0018", "\u0009\u0018")) },
        )
        val open = peerPorts.flatMap { port ->
            cases.filterNot { (_, write) ->
                isClosedAfter(port) {
                    frame(hello("secret"))
                    write()
                }
            }.map { port to it.key }
        }
        expectThat(open).isEqualTo(emptyList())
        expectThat(lookUp("after-frames")).isEqualTo(200)
        operators.forEach { operator ->
            val prefix = "vanilladale_events_total{event=\"connection-malformed\"}"
            expectThat(fleet.metric(operator, prefix)).isGreaterThan(2.0)
        }
    }

    @Test
    fun `a body above the limit is refused with its reason`() {
        val answer = fleet.send("entry-0", "stock", "large", "x".repeat(786_433))
        expectThat(answer.statusCode()).isEqualTo(413)
        expectThat(answer.body()).contains("\"reason\":\"body-too-large\",\"run\":\"no\"")
        val whole = fleet.send("entry-0", "stock", "largest", "x".repeat(786_432))
        expectThat(whole.statusCode()).isEqualTo(200)
    }

    /** Guards against callers that hold memory by sending a byte now and then. */
    @Test
    fun `a body that is not whole at its deadline is refused and look-ups go on`() {
        Socket(InetAddress.getLoopbackAddress(), fleet.port("caller-entry-0")).use { socket ->
            socket.soTimeout = CLOSE_MILLISECONDS
            val head = listOf(
                "POST /v1/requests HTTP/1.1",
                "host: entry",
                "vanilladale-workspace: workspace-1",
                "vanilladale-kind: stock",
                "vanilladale-request-key: slow",
                "content-length: 1000",
            ).joinToString("\r\n", postfix = "\r\n\r\n")
            socket.getOutputStream().write(head.toByteArray())
            socket.getOutputStream().write('x'.code)
            expectThat(lookUp("beside-slow")).isEqualTo(200)
            val status = DataInputStream(socket.getInputStream()).bufferedReader().readLine()
            expectThat(status).contains("408")
        }
    }

    /** Returns a frame of which the bytes of [old] are replaced, with a valid checksum. */
    private fun changedLeaving(old: String, new: String): ByteArray {
        val leaving = Leaving(VmId.parse("tester"), Timestamp.fromEpochMilliseconds(LEAVING_AT))
        val payload = FrameCodec.encode(leaving).dropLast(Int.SIZE_BYTES).toByteArray()
        val text = payload.toString(Charsets.ISO_8859_1)
        check(old in text) { "the encoding has changed: $text" }
        val changed = text.replace(old, new).toByteArray(Charsets.ISO_8859_1)
        val checksum = CRC32C().apply { update(changed) }.value.toInt()
        return ByteBuffer.allocate(changed.size + Int.SIZE_BYTES).put(changed).putInt(checksum)
            .array()
    }

    private companion object {
        /** Longer than the handshake deadline of the programs. */
        const val CLOSE_MILLISECONDS = 10_000

        /** CBOR holds this value in one byte after a prefix byte of 0x18. */
        const val LEAVING_AT = 100L
    }
}
