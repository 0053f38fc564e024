package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.impl.HttpClientConnectionInternal

/**
 * Bytes of a request that the kernel takes before the server reads them; Linux doubles the value.
 *
 * A reset that follows the end of a response shows only in the rest of the request that is still to
 * be written. Without a limit the kernel takes several MB, and nothing is left to be written.
 */
private const val SEND_BUFFER_BYTES = 128 shl 10

/**
 * Creates an HTTP/1.1 client that fails on broken responses which a client of Vert.x alone accepts.
 *
 * A response with a malformed field name in its head fails with an exception.
 *
 * A response without a length ends with its connection. Here it is complete only if the server
 * ended the connection in order, and otherwise fails with an exception. A client of Vert.x alone
 * also completes it after a reset that a write of the request noticed first.
 *
 * A reset goes unnoticed if it follows an end in order and the kernel had already taken the whole
 * request, as it does for requests below a few hundred KB.
 */
public fun createCheckedHttpClient(
    vertx: Vertx,
    options: HttpClientOptions = HttpClientOptions(),
    pool: PoolOptions = PoolOptions(),
): HttpClient = vertx.httpClientBuilder()
    .with(options.setSendBufferSize(SEND_BUFFER_BYTES))
    .with(pool)
    .withConnectHandler(::checkResponses)
    .build()

private fun checkResponses(connection: HttpConnection) {
    // Vert.x has no other access to the channel of a connection.
    val context = (connection as HttpClientConnectionInternal).channelHandlerContext()
    val validator = ResponseHeadValidator()
    context.pipeline()
        .addFirst(ConnectionEndHandler(), validator)
        .addBefore(context.name(), null, validator.requestListener)
}
