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
 * Refuses requests while the process does not know the configuration yet; answers the loss of many
 * entries at once.
 *
 * Callers that know no other entry connect to this one while it starts. A refused connection tells
 * them nothing; a refusal says that the request has not run and when to come back.
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
        // The connection ends with this server.
        request.response().putHeader("connection", "close")
        refusals.write(request, RefusalWriter.Subject(id, now, null), refusal)
    }

    private companion object {
        /** Reading the store and opening the port takes some hundred ms on a busy VM. */
        const val RETRY_AFTER_MILLISECONDS = 700L
    }
}
