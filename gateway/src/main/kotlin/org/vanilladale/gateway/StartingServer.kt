package org.vanilladale.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp

/**
 * Refuses requests until the process has read the configuration.
 *
 * When many entries have failed at once, callers that know no other entry connect to this one while
 * it starts. A refused connection carries no information, whereas a refusal states that the
 * request was not run and when to retry.
 */
internal class StartingServer(
    private val vertx: Vertx,
    private val dialect: RequestDialect,
    private val refusals: RefusalWriter,
    private val clock: () -> Timestamp,
) {
    /** Listens at [address] until the returned server is closed. */
    suspend fun listen(address: SocketAddressText): HttpServer = vertx.createHttpServer()
        .requestHandler(::refuse)
        .listen(address.port, address.host)
        .coAwait()

    private fun refuse(request: HttpServerRequest) {
        val now = clock()
        val id = dialect.readRequestHead(request, now).getOrNull()?.request
        val refusal = Refusal(
            RefusalReason.NO_CONFIGURATION,
            retryAt = now.deadlineAfter(RETRY_AFTER_MILLISECONDS),
        )
        refusals.count(refusal)
        // The server is closed at the end of the start, and its connections with it.
        request.response().putHeader("connection", "close")
        refusals.write(request, RefusalWriter.Subject(id, now, null), refusal)
    }

    private companion object {
        /** Reading the store and opening the port takes a few hundred milliseconds on a busy VM. */
        const val RETRY_AFTER_MILLISECONDS = 700L
    }
}
