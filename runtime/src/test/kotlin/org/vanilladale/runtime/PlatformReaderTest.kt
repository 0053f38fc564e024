package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against answers of the platform that are taken although their head is malformed. */
class PlatformReaderTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().get()
    }

    private suspend fun readerOf(head: String, body: String): PlatformReader {
        val port = vertx.createNetServer()
            .connectHandler { socket -> socket.handler { socket.write("$head\r\n\r\n$body") } }
            .listen(0, "127.0.0.1").coAwait().actualPort()
        return PlatformReader(vertx, "http://127.0.0.1:$port", "http://127.0.0.1:$port")
    }

    @Test
    fun `tables with a malformed field in the head are not read`() = runBlocking<Unit> {
        val reader = readerOf("HTTP/1.1 204 No Content\r\nX Odd: 1", "")
        expectThat(reader.readTables(null)).isEqualTo(ConfigurationRead.Failed)
    }

    @Test
    fun `a VM list with a malformed field in the head is not read`() = runBlocking<Unit> {
        val body = """{"vms": []}"""
        val reader = readerOf("HTTP/1.1 200 OK\r\nContent-Length : ${body.length}", body)
        expectThat(reader.readVms()).isNull()
    }
}
