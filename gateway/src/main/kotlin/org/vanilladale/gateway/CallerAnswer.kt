package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait

/**
 * The answer to one caller.
 *
 * @param onPassed called with the number of bytes of the body that are passed to the connection
 * @param onWritten called when the complete answer has been written to the connection, or can no
 *   longer be
 */
internal class CallerAnswer(
    private val response: HttpServerResponse,
    private val onPassed: (Int) -> Unit,
    private val onWritten: () -> Unit,
) {
    /** True once part of the answer has been written. */
    val isStarted: Boolean get() = response.headWritten()

    /** Writes a complete answer. */
    suspend fun write(status: Int, headers: MultiMap, body: Buffer) {
        response.setStatusCode(status).headers().addAll(headers)
        onPassed(body.length())
        response.end(body).onComplete { onWritten() }.coAwait()
    }

    /** Starts an answer of unknown length. */
    fun start(status: Int, headers: MultiMap) {
        response.setStatusCode(status).setChunked(true).headers().addAll(headers)
    }

    /** Writes a part, and waits if the caller reads too slowly. */
    suspend fun writePart(part: Buffer) {
        onPassed(part.length())
        val written = response.write(part)
        if (response.writeQueueFull()) written.coAwait()
    }

    /** Completes a started answer. */
    suspend fun end() {
        response.end().onComplete { onWritten() }.coAwait()
    }

    /** Closes the connection, so that an incomplete answer is not taken for a complete one. */
    fun abort() {
        response.reset()
    }
}
