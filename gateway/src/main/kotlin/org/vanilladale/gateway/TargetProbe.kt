package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.core.net.NetClientOptions
import io.vertx.kotlin.coroutines.coAwait
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.SocketAddressText

/** Tells targets that crashed from those that only lost an answer. */
internal class TargetProbe(vertx: Vertx) {
    private val client = vertx.createNetClient(
        NetClientOptions().setConnectTimeout(TargetExchange.CONNECT_MILLISECONDS),
    )

    /** Returns whether [address] accepts connections. */
    suspend fun isListening(address: SocketAddressText): Boolean {
        val opened = client.connect(address.port, address.host)
        try {
            return runCatchingIo { opened.coAwait() } != null
        } finally {
            opened.onSuccess { it.close() }
        }
    }
}
