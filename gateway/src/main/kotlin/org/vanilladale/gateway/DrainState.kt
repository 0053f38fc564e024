package org.vanilladale.gateway

import io.vertx.core.http.HttpConnection
import java.util.concurrent.ConcurrentHashMap
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Timestamp

/**
 * Tracks the requests of callers and determines how servers treat them during a planned stop.
 * Thread-safe.
 *
 * @param isLeaving whether a planned stop has been announced
 * @param refusalOf returns the refusal of a request that could not end in time, or null
 */
internal class DrainState(
    private val clock: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val refusalOf: (CallerHead, GatewayPool, RequestTimes, AcceptanceStep) -> Refusal?,
) {
    private val requests = ConcurrentHashMap.newKeySet<InFlight>()
    private val openConnections = ConcurrentHashMap.newKeySet<HttpConnection>()

    @Volatile
    private var recentUntil = clock().deadlineAfter(0)

    /**
     * A request in flight.
     *
     * @property interrupt answers it, or closes its connection, at once
     * @property reportUnfinished logs that the process ends before its answer was written
     */
    class InFlight(val interrupt: () -> Unit, val reportUnfinished: () -> Unit)

    /** Number of open connections of callers. */
    val connections: Int get() = openConnections.size

    /** Number of requests whose answers have not been written completely. */
    val inFlight: Int get() = requests.size

    /** True while callers still send requests. */
    val hasRecentRequests: Boolean get() = !recentUntil.hasPassed(clock())

    /** True when connections are to be closed after their current answer. */
    val closesConnections: Boolean get() = isLeaving()

    /** Returns the refusal of a request that could not be answered before the process ends. */
    fun refusalOrNull(
        head: CallerHead,
        pool: GatewayPool,
        times: RequestTimes,
        step: AcceptanceStep,
    ): Refusal? = refusalOf(head, pool, times, step)

    /** Tracks [connection] until it is closed. */
    fun connectionOpened(connection: HttpConnection) {
        openConnections += connection
        connection.closeHandler { openConnections -= connection }
    }

    fun requestBegan(request: InFlight) {
        requests += request
        recentUntil = clock().deadlineAfter(RECENT_MILLISECONDS)
    }

    fun requestEnded(request: InFlight) {
        requests -= request
    }

    /** Ends all requests in flight with an answer that says whether they may have run. */
    fun interruptAll() = requests.forEach { it.interrupt() }

    /** Logs the requests whose answers have not been written when the process ends. */
    fun reportUnfinished() = requests.forEach { it.reportUnfinished() }

    private companion object {
        /** A caller with a persistent connection sends its next request within about a second. */
        const val RECENT_MILLISECONDS = 700L
    }
}
