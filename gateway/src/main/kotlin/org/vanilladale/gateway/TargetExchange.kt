package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.net.SocketAddress
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.SocketAddressText

/** The connection to a target ended, or the data received is no valid answer. */
internal class TargetExchangeException(message: String, cause: Throwable? = null) :
    IOException(message, cause)

/**
 * One request on its own connection to a target.
 *
 * A connection that serves only one request can't deliver answers to an earlier one, and a refused
 * connection proves that nothing was sent.
 */
internal class TargetExchange private constructor(private val request: HttpClientRequest) {
    private val head = CompletableDeferred<HttpClientResponse>()
    private val chunks = Channel<Buffer>(Channel.UNLIMITED)
    private var ended = false

    /** Sends the request with its complete [body]. */
    fun send(headers: MultiMap, body: Buffer) {
        request.headers().setAll(headers)
        request.exceptionHandler(::fail)
        request.response().onComplete({ receive(it) }, ::fail)
        if (body.length() > 0) request.end(body) else request.end()
    }

    /**
     * Returns the head of the answer.
     *
     * @throws TargetExchangeException when the connection ends first
     */
    suspend fun head(): HttpClientResponse = head.await()

    /**
     * Returns the next part of the body, or null at its end.
     *
     * @throws TargetExchangeException when the connection ends first
     */
    suspend fun nextOrNull(): Buffer? {
        head.await().fetch(1)
        val received = chunks.receiveCatching()
        received.exceptionOrNull()?.let { throw it }
        return received.getOrNull()
    }

    /**
     * Closes the connection unless the answer is complete, so that the target stops working on the
     * request.
     */
    fun close() {
        if (!ended) request.reset()
    }

    private fun receive(response: HttpClientResponse) {
        response.pause()
        response.exceptionHandler(::fail)
        response.handler { chunks.trySend(it) }
        response.endHandler {
            ended = true
            chunks.close()
        }
        head.complete(response)
    }

    private fun fail(cause: Throwable) {
        val broken = TargetExchangeException(cause.message ?: cause.javaClass.simpleName, cause)
        head.completeExceptionally(broken)
        chunks.close(broken)
    }

    companion object {
        /**
         * A target accepts a connection within a few milliseconds. A longer delay means that it is
         * down or unreachable.
         */
        const val CONNECT_MILLISECONDS = 400

        /**
         * The slots at targets already limit the connections. This limit takes effect only
         * if too many slots are assigned by mistake.
         */
        private const val MAX_CONNECTIONS = 256

        /** Creates a client for [connectOrNull]. */
        fun createClient(vertx: Vertx): HttpClient = createCheckedHttpClient(
            vertx,
            HttpClientOptions()
                .setKeepAlive(false)
                .setDecompressionSupported(false)
                .setConnectTimeout(CONNECT_MILLISECONDS),
            PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS),
        )

        /** Connects to [address]. Returns null when that fails. */
        suspend fun connectOrNull(
            client: HttpClient,
            address: SocketAddressText,
            method: HttpMethod,
            uri: String,
        ): TargetExchange? {
            val options = RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(address.port, address.host))
                .setHost(address.host)
                .setPort(address.port)
                .setMethod(method)
                .setURI(uri)
                .setConnectTimeout(CONNECT_MILLISECONDS.toLong())
            val opened = client.request(options)
            var exchange: TargetExchange? = null
            try {
                exchange = runCatchingIo { opened.coAwait() }?.let(::TargetExchange)
            } finally {
                // A caller may leave while the connection opens.
                if (exchange == null) opened.onSuccess { it.reset() }
            }
            return exchange
        }
    }
}
