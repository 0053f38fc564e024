package org.vanilladale.gateway

import io.vertx.core.Future
import io.vertx.core.http.HttpServer
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import org.tinylog.kotlin.Logger
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** The servers of callers on all event loops. Thread-safe. */
internal class CallerServers(private val clock: () -> Timestamp) {
    private val servers = CopyOnWriteArrayList<HttpServer>()

    @Volatile
    private var closeDeadline: Deadline? = null

    /** True once connections are closed whatever is in flight on them. */
    val isClosed: Boolean get() = closeDeadline?.hasPassed(clock()) == true

    /** Adds a listening server, and closes it if [close] was called before. */
    fun opened(server: HttpServer) {
        servers += server
        closeDeadline?.let { shutDown(server, it) }
    }

    /**
     * Refuses new connections, closes each connection as soon as it has no request in flight, and
     * returns once all are closed. At [deadline] the others are closed as well.
     */
    suspend fun close(deadline: Deadline) {
        closeDeadline = deadline
        Future.join(servers.map { shutDown(it, deadline) }).coAwait()
    }

    private fun shutDown(server: HttpServer, deadline: Deadline): Future<Void> {
        // A timeout of 0 would close connections whose answers are being written.
        val milliseconds = deadline.millisecondsLeft(clock()).coerceAtLeast(1)
        return server.shutdown(milliseconds, TimeUnit.MILLISECONDS).recover { cause ->
            Logger.warn(cause) { "stop: a server of callers could not be closed" }
            Future.succeededFuture()
        }
    }
}
