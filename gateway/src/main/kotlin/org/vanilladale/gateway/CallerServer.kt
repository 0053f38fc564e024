package org.vanilladale.gateway

import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.CoroutineVerticle
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import org.vanilladale.core.gateway.CallerLimits
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp

/** Dependencies that the caller servers of all event loops share. */
internal class CallerServerDependencies(
    val address: SocketAddressText,
    val limits: CallerLimits,
    val dialect: RequestDialect,
    val admission: RequestAdmission,
    val forwarder: () -> Forwarder,
    val drain: DrainState,
    val refusals: RefusalWriter,
    val log: GatewayLog,
    val metrics: GatewayMetrics,
    val clock: () -> Timestamp,
)

/**
 * Tracks the requests of callers and determines how servers treat them during a planned stop.
 */
internal class DrainState(
    private val clock: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val refusesWork: () -> Boolean,
) {
    private val requestsInFlight = AtomicInteger()

    @Volatile
    private var recentUntil = clock().deadlineAfter(0)

    /** Number of requests whose answers have not been written completely. */
    val inFlight: Int get() = requestsInFlight.get()

    /** True while callers still send requests. */
    val hasRecentRequests: Boolean get() = !recentUntil.hasPassed(clock())

    /** True when connections are to be closed after their current answer. */
    val closesConnections: Boolean get() = isLeaving()

    /** True when new requests are refused. */
    val refusesRequests: Boolean get() = refusesWork()

    fun requestBegan() {
        requestsInFlight.incrementAndGet()
        recentUntil = clock().deadlineAfter(RECENT_MILLISECONDS)
    }

    fun requestEnded() {
        requestsInFlight.decrementAndGet()
    }

    private companion object {
        /** A caller with a persistent connection sends its next request within about a second. */
        const val RECENT_MILLISECONDS = 700L
    }
}

/** Serves callers on one event loop. */
internal class CallerServer(private val shared: CallerServerDependencies) : CoroutineVerticle() {
    private val forwarder by lazy { shared.forwarder() }

    /** The supervisor keeps one failed request from cancelling the others. */
    private val requests by lazy { CoroutineScope(coroutineContext + SupervisorJob()) }

    override suspend fun start() {
        val options = HttpServerOptions()
            .setMaxHeaderSize(shared.limits.maximumHeaderBytes)
            .setMaxInitialLineLength(shared.limits.maximumHeaderBytes)
            .setHandle100ContinueAutomatically(true)
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setIdleTimeout(shared.limits.idleTimeoutMilliseconds.toInt())
            .setAcceptBacklog(ACCEPT_BACKLOG)
        vertx.createHttpServer(options)
            .requestHandler(::receive)
            .listen(shared.address.port, shared.address.host)
            .coAwait()
    }

    private fun receive(request: HttpServerRequest) {
        val arrivedAt = shared.clock()
        shared.drain.requestBegan()
        val exchange = CallerExchange(request, arrivedAt)
        request.response().endHandler { exchange.end() }
        request.response().closeHandler { exchange.connectionClosed() }
        request.response().exceptionHandler { exchange.connectionClosed() }
        if (shared.drain.closesConnections) request.response().putHeader("connection", "close")
        shared.dialect.readRequestHead(request, arrivedAt).fold(exchange::refuse) { head ->
            exchange.id = head.request
            if (shared.drain.refusesRequests) {
                exchange.refuse(Refusal(RefusalReason.LEAVING))
            } else {
                shared.admission.admit(head, arrivedAt).fold(exchange::refuse, exchange::readBody)
            }
        }
    }

    /** One request of a caller and its answer. */
    private inner class CallerExchange(
        private val request: HttpServerRequest,
        private val arrivedAt: Timestamp,
    ) {
        var id: CallerRequestId? = null
        private var job: Job? = null
        private var ended = false
        private var released = false
        private var revision: Long? = null
        private val answer = CallerAnswer(request.response(), ::release)

        fun readBody(admitted: AdmittedHead) {
            revision = admitted.tables.revision.value
            val times = timesOf(admitted)
            val body = Buffer.buffer()
            var refused = false
            fun refuseBody(reason: RefusalReason) {
                refused = true
                refuse(Refusal(reason))
            }
            val remainingMilliseconds = times.deadline.millisecondsLeft(shared.clock())
            val timer = vertx.setTimer(maxOf(1, remainingMilliseconds)) {
                if (!refused && !request.isEnded) refuseBody(RefusalReason.BODY_TOO_SLOW)
            }
            request.handler { chunk ->
                if (refused) return@handler
                if (body.length() + chunk.length() > admitted.tables.limits.maximumBodyBytes) {
                    refuseBody(RefusalReason.BODY_TOO_LARGE)
                } else {
                    body.appendBuffer(chunk)
                }
            }
            request.endHandler {
                vertx.cancelTimer(timer)
                if (!refused && !ended) forward(admitted, times, body)
            }
        }

        private fun forward(admitted: AdmittedHead, times: RequestTimes, body: Buffer) {
            val forwarded = ForwardedRequest(
                admitted.head,
                request.method(),
                request.uri(),
                request.headers(),
                body,
                admitted.route,
                admitted.pool,
                admitted.workspace,
                admitted.tables.revision,
                times,
            )
            job = requests.launch(CoroutineExceptionHandler { _, fault -> handleFailure(fault) }) {
                serve(forwarded)
            }
        }

        private fun timesOf(admitted: AdmittedHead): RequestTimes {
            val routeDeadline = arrivedAt.deadlineAfter(admitted.route.timeoutMilliseconds)
            val deadline = admitted.head.deadline ?: return RequestTimes(arrivedAt, routeDeadline)
            return RequestTimes(
                arrivedAt,
                minOf(deadline, routeDeadline, Deadline::compareTo),
                shared.admission.firstAttempt(admitted.route, arrivedAt, deadline),
            )
        }

        /**
         * Refuses the request after an unexpected exception, so that the caller does not wait in
         * vain.
         */
        private fun handleFailure(fault: Throwable) {
            Logger.error(fault) { "Request ${id?.text} failed with an unexpected exception" }
            refuse(Refusal(RefusalReason.INTERNAL_FAULT))
        }

        private suspend fun serve(forwarded: ForwardedRequest) {
            try {
                val remainingMilliseconds = forwarded.deadline.millisecondsLeft(shared.clock())
                val outcome =
                    withTimeoutOrNull(remainingMilliseconds) {
                        Outcome(forwarder.run(forwarded, answer))
                    }
                        ?: Outcome(Refusal(RefusalReason.DEADLINE_PASSED))
                outcome.refusal?.let(::refuse)
            } catch (_: IOException) {
                callerDisconnected()
            } catch (_: VertxException) {
                callerDisconnected()
            }
        }

        fun refuse(refusal: Refusal) {
            if (ended) return
            shared.refusals.count(refusal)
            if (answer.isStarted) abort(refusal) else writeRefusal(refusal)
        }

        private fun abort(refusal: Refusal) {
            shared.log.log(
                GatewayEvent.AnswerAborted(
                    id?.text.orEmpty(),
                    "${refusal.reason.code}: ${refusal.detail.orEmpty()}",
                    shared.clock().millisecondsSince(arrivedAt),
                    null,
                ),
            )
            end()
            answer.abort()
        }

        private fun writeRefusal(refusal: Refusal) {
            val subject = RefusalWriter.Subject(id, arrivedAt, revision)
            shared.refusals.write(request, subject, refusal).onComplete { release() }
            if (request.isEnded) return
            // Unread bytes would reset the connection and could take the refusal with them.
            vertx.setTimer(LINGER_MILLISECONDS) { request.connection().close() }
        }

        fun connectionClosed() {
            callerDisconnected()
            release()
        }

        fun callerDisconnected() {
            if (ended) return
            end()
            val afterMilliseconds = shared.clock().millisecondsSince(arrivedAt)
            shared.metrics.counters.event("caller-left")
            shared.log.log(GatewayEvent.CallerDisconnected(id?.text.orEmpty(), afterMilliseconds))
            job?.cancel()
        }

        fun end() {
            ended = true
        }

        /** Called when the answer has been written or its connection is closed. */
        private fun release() {
            if (released) return
            released = true
            shared.drain.requestEnded()
        }
    }

    /**
     * Wraps the result of forwarding, so that a delivered answer (null [refusal]) differs from a
     * timeout.
     */
    private class Outcome(val refusal: Refusal?)

    private companion object {
        /** All callers of a data centre may connect at once after a failure. */
        const val ACCEPT_BACKLOG = 1_024

        /** Time in which the rest of a refused body is read and dropped. */
        const val LINGER_MILLISECONDS = 1_000L
    }
}
