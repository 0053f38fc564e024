package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait

/** The answer to one caller. */
internal class CallerAnswer(private val response: HttpServerResponse) {
    /** True once a part of the answer was written. */
    val isStarted: Boolean get() = response.headWritten()

    /** Writes a whole answer. */
    suspend fun write(status: Int, headers: MultiMap, body: Buffer) {
        response.setStatusCode(status).headers().addAll(headers)
        response.end(body).coAwait()
    }

    /** Starts an answer whose length is not known. */
    fun start(status: Int, headers: MultiMap) {
        response.setStatusCode(status).setChunked(true).headers().addAll(headers)
    }

    /** Writes a part and waits while the caller reads too slowly. */
    suspend fun writePart(bytes: ByteArray) {
        val written = response.write(Buffer.buffer(bytes))
        if (response.writeQueueFull()) written.coAwait()
    }

    /** Completes a started answer. */
    suspend fun end() {
        response.end().coAwait()
    }

    /** Closes the connection, so that a started answer can't be taken for a whole one. */
    fun abort() {
        response.reset()
    }
}
