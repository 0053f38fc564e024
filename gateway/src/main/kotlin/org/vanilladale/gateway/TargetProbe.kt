package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.core.net.NetClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.SocketAddressText

/**
 * Tells targets that crashed from those that only lost an answer.
 *
 * @param settleMilliseconds time for which a target that listens keeps a connection
 */
internal class TargetProbe(
    vertx: Vertx,
    private val settleMilliseconds: Long = SETTLE_MILLISECONDS,
) {
    private val client = vertx.createNetClient(
        NetClientOptions().setConnectTimeout(TargetExchange.CONNECT_MILLISECONDS),
    )

    /** Returns whether [address] accepts a connection and does not close it at once. */
    suspend fun isListening(address: SocketAddressText): Boolean {
        val closed = CompletableDeferred<Unit>()
        val opened = client.connect(address.port, address.host).onSuccess { socket ->
            socket.closeHandler { closed.complete(Unit) }
        }
        try {
            runCatchingIo { opened.coAwait() } ?: return false
            return withTimeoutOrNull(settleMilliseconds) { closed.await() } == null
        } finally {
            opened.onSuccess { it.close() }
        }
    }

    private companion object {
        /** A process that ends may close its connections before it stops accepting new ones. */
        const val SETTLE_MILLISECONDS = 50L
    }
}
