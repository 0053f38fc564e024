package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure

/** Guards against broken responses that are accepted on a connection that is kept. */
class CheckedHttpClientTest {
    private val vertx = Vertx.vertx()
    private val client = createCheckedHttpClient(vertx, pool = PoolOptions().setHttp1MaxSize(1))
    private val connections = AtomicInteger()
    private val requests = AtomicInteger()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get()
    }

    /** Starts a server that answers the requests of all connections with [responses] in turn. */
    private suspend fun start(vararg responses: String): Int = vertx.createNetServer()
        .connectHandler { socket ->
            connections.incrementAndGet()
            socket.handler { socket.write(responses[requests.getAndIncrement()]) }
        }
        .listen(0, "127.0.0.1").coAwait().actualPort()

    private suspend fun get(port: Int): String = withTimeout(TEST_MILLISECONDS) {
        val request = client.request(HttpMethod.GET, port, "127.0.0.1", "/").coAwait()
        request.send().compose { it.body() }.coAwait().toString()
    }

    private fun response(field: String, body: String) =
        "HTTP/1.1 200 OK\r\n$field\r\nContent-Length: ${body.length}\r\n\r\n$body"

    @Test
    fun `the second response on a connection is checked`() = runBlocking<Unit> {
        val port = start(response("X-Odd: 1", "first"), response("X Odd: 1", "second"))
        expectThat(get(port)).isEqualTo("first")
        expectCatching { get(port) }.isFailure().isA<IOException>()
        expectThat(connections.get()).isEqualTo(1)
    }

    @Test
    fun `a body that looks like a malformed head is passed on`() = runBlocking<Unit> {
        val body = "X Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n : 2\r\n\r\n"
        val port = start(response("X-Odd: 1", body), response("X-Odd: 1", "second"))
        expectThat(get(port)).isEqualTo(body)
        expectThat(get(port)).isEqualTo("second")
        expectThat(connections.get()).isEqualTo(1)
    }

    @Test
    fun `the response after an interim one is checked`() = runBlocking<Unit> {
        val interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        val port = start(
            interim + response("X-Odd: 1", "first"),
            interim + response("X Odd: 1", "second"),
        )
        expectThat(get(port)).isEqualTo("first")
        expectCatching { get(port) }.isFailure().isA<IOException>()
    }

    private companion object {
        const val TEST_MILLISECONDS = 5_000L
    }
}
