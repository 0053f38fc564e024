package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.runtime.FreePorts
import org.vanilladale.schema.SocketAddressText
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class TargetProbeTest {
    private val vertx = Vertx.vertx()

    @AfterEach
    fun close() {
        vertx.close()
    }

    private suspend fun listen(onConnect: (NetSocket) -> Unit): SocketAddressText {
        val server = vertx.createNetServer().connectHandler(onConnect)
        val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
        return SocketAddressText.parse("127.0.0.1:$port")
    }

    @Test
    fun `a target that keeps a connection is listening`() = runBlocking<Unit> {
        val address = listen { }
        expectThat(TargetProbe(vertx).isListening(address)).isTrue()
    }

    @Test
    fun `a target that refuses connections is not listening`() = runBlocking<Unit> {
        val address = SocketAddressText.parse("127.0.0.1:${FreePorts.take()}")
        expectThat(TargetProbe(vertx).isListening(address)).isFalse()
    }

    @Test
    fun `a target that accepts a connection while it ends is not listening`() = runBlocking<Unit> {
        val address = listen { it.close() }
        expectThat(TargetProbe(vertx, settleMilliseconds = 5_000).isListening(address)).isFalse()
    }
}
