package org.vanilladale.gateway

import io.vertx.core.Future
import io.vertx.core.http.HttpServer
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** The servers of callers on all event loops. Thread-safe. */
internal class CallerServers(private val clock: () -> Timestamp) {
    private val servers = CopyOnWriteArrayList<HttpServer>()

    /** Includes [server], which listens. */
    fun opened(server: HttpServer) {
        servers += server
    }

    /**
     * Refuses new connections, closes each connection as soon as it has no request in flight, and
     * returns once all are closed. At [deadline] the others are closed as well.
     */
    suspend fun close(deadline: Deadline) {
        // A timeout of 0 would close connections whose answers are being written.
        val milliseconds = deadline.millisecondsLeft(clock()).coerceAtLeast(1)
        Future.join(servers.map { it.shutdown(milliseconds, TimeUnit.MILLISECONDS) }).coAwait()
    }
}
