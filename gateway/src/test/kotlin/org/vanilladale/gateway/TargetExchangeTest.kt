package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.vanilladale.schema.SocketAddressText
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNull

/**
 * Guards against a part of an answer without a length that counts as the whole answer because its
 * connection broke, and against whole answers that count as broken.
 */
class TargetExchangeTest {
    private val vertx = Vertx.vertx()
    private val client = TargetExchange.createClient(vertx)

    // The default differs between machines. It adds to what the kernel takes of an unread request.
    private val server = ServerSocket().apply {
        receiveBufferSize = 64 shl 10
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
    }

    @AfterEach
    fun close() {
        server.close()
        vertx.close().toCompletionStage().toCompletableFuture().get()
    }

    /**
     * Sends a request with [bodyBytes] to a target that has read its head and answers with
     * [ANSWER]. Calls [end] with the target's socket once the exchange has returned the answer.
     */
    private fun exchange(
        bodyBytes: Int,
        head: String = HEAD_WITHOUT_LENGTH,
        end: suspend (target: Socket, exchange: TargetExchange) -> Unit,
    ) = runBlocking<Unit> {
        withTimeout(TEST_MILLISECONDS) {
            val (exchange, connection) = connect()
            connection.use { target ->
                exchange.send(MultiMap.caseInsensitiveMultiMap(), bodyOf(bodyBytes))
                withContext(Dispatchers.IO) {
                    readHead(target)
                    target.getOutputStream().write((head + ANSWER).encodeToByteArray())
                }
                expectThat(exchange.nextOrNull().toString()).isEqualTo(ANSWER)
                withContext(Dispatchers.IO) { end(target, exchange) }
            }
        }
    }

    private suspend fun connect(): Pair<TargetExchange, Socket> {
        val address = SocketAddressText.parse("127.0.0.1:${server.localPort}")
        val exchange = TargetExchange.connectOrNull(client, address, HttpMethod.POST, "/")
        return checkNotNull(exchange) to withContext(Dispatchers.IO) { server.accept() }
    }

    private fun bodyOf(bytes: Int): Buffer = Buffer.buffer(ByteArray(bytes))

    private fun readHead(target: Socket) {
        val input = target.getInputStream()
        var head = ""
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            check(byte >= 0) { "The connection ended within a head" }
            head += byte.toChar()
        }
    }

    private suspend fun expectBroken(exchange: TargetExchange) {
        expectCatching { exchange.nextOrNull() }.isFailure().isA<TargetExchangeException>()
    }

    // Java's sockets end the output before a close that resets the connection.
    @ParameterizedTest
    @ValueSource(ints = [MEDIUM_BODY, LONG_BODY])
    fun `an answer is broken when its target closes with unread bytes`(bodyBytes: Int) =
        exchange(bodyBytes) { target, exchange ->
            target.close()
            expectBroken(exchange)
        }

    @ParameterizedTest
    @ValueSource(ints = [SHORT_BODY, MEDIUM_BODY, LONG_BODY])
    fun `an answer is broken when its target resets the connection`(bodyBytes: Int) =
        exchange(bodyBytes) { target, exchange ->
            target.setSoLinger(true, 0)
            target.close()
            expectBroken(exchange)
        }

    @ParameterizedTest
    @ValueSource(ints = [MEDIUM_BODY, LONG_BODY])
    fun `an answer is broken when a reset follows its end during the request`(bodyBytes: Int) =
        exchange(bodyBytes) { target, exchange ->
            target.shutdownOutput()
            Thread.sleep(RESET_MILLISECONDS)
            target.close()
            expectBroken(exchange)
        }

    @ParameterizedTest
    @ValueSource(ints = [SHORT_BODY, MEDIUM_BODY, LONG_BODY])
    fun `an answer is whole when its target closes after the request`(bodyBytes: Int) =
        exchange(bodyBytes) { target, exchange ->
            target.getInputStream().readNBytes(bodyBytes)
            target.close()
            expectThat(exchange.nextOrNull()).isNull()
        }

    @ParameterizedTest
    @ValueSource(ints = [SHORT_BODY, MEDIUM_BODY, LONG_BODY])
    fun `an answer is whole when its target ends it early and reads on`(bodyBytes: Int) =
        exchange(bodyBytes) { target, exchange ->
            target.shutdownOutput()
            target.getInputStream().readNBytes(bodyBytes)
            target.close()
            expectThat(exchange.nextOrNull()).isNull()
        }

    @ParameterizedTest
    @ValueSource(ints = [SHORT_BODY, MEDIUM_BODY, LONG_BODY])
    fun `an answer with a length is whole before the connection breaks`(bodyBytes: Int) =
        exchange(bodyBytes, HEAD_WITH_LENGTH) { target, exchange ->
            expectThat(exchange.nextOrNull()).isNull()
            target.close()
            expectThat(exchange.nextOrNull()).isNull()
        }

    @Test
    fun `an exchange fails at once when its target ends the connection without an answer`() =
        runBlocking<Unit> {
            withTimeout(TEST_MILLISECONDS) {
                val (exchange, target) = connect()
                exchange.send(MultiMap.caseInsensitiveMultiMap(), bodyOf(LONG_BODY))
                target.use {
                    it.shutdownOutput()
                    expectCatching { exchange.head() }.isFailure()
                        .isA<TargetExchangeException>()
                        .get { message }.isEqualTo("Connection was closed")
                }
            }
        }

    private companion object {
        const val ANSWER = "a part or the whole"
        const val HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n"
        const val HEAD_WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: ${ANSWER.length}\r\n\r\n"

        /** Fits into the buffers of a connection. */
        const val SHORT_BODY = 1_000

        /** Less than the kernel takes by default before the target reads. */
        const val MEDIUM_BODY = 1 shl 20

        /** Larger than all buffers of a connection. */
        const val LONG_BODY = 16 shl 20
        const val TEST_MILLISECONDS = 10_000L

        /** Lets the exchange see the end before the reset; the result must not depend on it. */
        const val RESET_MILLISECONDS = 100L
    }
}
