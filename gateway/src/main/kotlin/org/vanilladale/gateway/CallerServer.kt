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

/** What the callers' servers of all event loops share. */
internal class CallerServerDependencies(
    val address: SocketAddressText,
    val limits: CallerLimits,
    val dialect: RequestDialect,
    val admission: RequestAdmission,
    val forwarder: () -> Forwarder,
    val stop: DrainState,
    val refusals: RefusalWriter,
    val log: GatewayLog,
    val metrics: GatewayMetrics,
    val clock: () -> Timestamp,
)

/** What the planned stop needs to know of callers, and they of it. */
internal class DrainState(
    private val clock: () -> Timestamp,
    private val isLeaving: () -> Boolean,
    private val refusesWork: () -> Boolean,
) {
    private val answering = AtomicInteger()

    @Volatile
    private var askedUntil = clock().deadlineAfter(0)

    /** Requests that were not answered to their end. */
    val inFlight: Int get() = answering.get()

    /** True while callers still send requests. */
    val isAsked: Boolean get() = !askedUntil.hasPassed(clock())

    /** True when connections are to end after their current answer. */
    val closesConnections: Boolean get() = isLeaving()

    /** True when new requests are refused. */
    val refuses: Boolean get() = refusesWork()

    fun began() {
        answering.incrementAndGet()
        askedUntil = clock().deadlineAfter(ASKED_MILLISECONDS)
    }

    fun ended() {
        answering.decrementAndGet()
    }

    private companion object {
        /** A caller with a kept connection sends its next request within about a second. */
        const val ASKED_MILLISECONDS = 700L
    }
}

/** Serves callers on one event loop. */
internal class CallerServer(private val parts: CallerServerDependencies) : CoroutineVerticle() {
    private val forwarder by lazy { parts.forwarder() }

    /** One failed request must not end the others. */
    private val requests by lazy { CoroutineScope(coroutineContext + SupervisorJob()) }

    override suspend fun start() {
        val options = HttpServerOptions()
            .setMaxHeaderSize(parts.limits.maximumHeaderBytes)
            .setMaxInitialLineLength(parts.limits.maximumHeaderBytes)
            .setHandle100ContinueAutomatically(true)
            .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
            .setIdleTimeout(parts.limits.idleMilliseconds.toInt())
            .setAcceptBacklog(ACCEPT_BACKLOG)
        vertx.createHttpServer(options)
            .requestHandler(::receive)
            .listen(parts.address.port, parts.address.host)
            .coAwait()
    }

    private fun receive(request: HttpServerRequest) {
        val arrivedAt = parts.clock()
        parts.stop.began()
        val exchange = CallerExchange(request, arrivedAt)
        request.response().endHandler { exchange.end() }
        request.response().closeHandler { exchange.callerLeft() }
        request.response().exceptionHandler { exchange.callerLeft() }
        if (parts.stop.closesConnections) request.response().putHeader("connection", "close")
        parts.dialect.readCaller(request, arrivedAt).fold(exchange::refuse) { head ->
            exchange.id = head.request
            if (parts.stop.refuses) {
                exchange.refuse(Refusal(RefusalReason.LEAVING))
            } else {
                parts.admission.admit(head).fold(exchange::refuse, exchange::readBody)
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
        private var revision: Long? = null
        private val answer = CallerAnswer(request.response())

        fun readBody(admitted: AdmittedHead) {
            revision = admitted.tables.revision.value
            val body = Buffer.buffer()
            var refused = false
            request.handler { chunk ->
                if (refused) return@handler
                if (body.length() + chunk.length() > admitted.tables.limits.maximumBodyBytes) {
                    refused = true
                    refuse(Refusal(RefusalReason.BODY_TOO_LARGE))
                } else {
                    body.appendBuffer(chunk)
                }
            }
            request.endHandler { if (!refused && !ended) forward(admitted, body) }
        }

        private fun forward(admitted: AdmittedHead, body: Buffer) {
            val byRoute = arrivedAt.deadlineAfter(admitted.route.timeoutMilliseconds)
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
                arrivedAt,
                minOf(admitted.head.deadline ?: byRoute, byRoute, Deadline::compareTo),
            )
            job = requests.launch(CoroutineExceptionHandler { _, fault -> failed(fault) }) {
                serve(forwarded)
            }
        }

        /** A fault of this program must not leave the caller waiting. */
        private fun failed(fault: Throwable) {
            Logger.error(fault) { "request ${id?.text}: unexpected fault" }
            refuse(Refusal(RefusalReason.INTERNAL_FAULT))
        }

        private suspend fun serve(forwarded: ForwardedRequest) {
            try {
                val left = forwarded.deadline.millisecondsLeft(parts.clock())
                val outcome = withTimeoutOrNull(left) { Outcome(forwarder.run(forwarded, answer)) }
                    ?: Outcome(Refusal(RefusalReason.DEADLINE_PASSED))
                outcome.refusal?.let(::refuse)
            } catch (_: IOException) {
                callerLeft()
            } catch (_: VertxException) {
                callerLeft()
            }
        }

        fun refuse(refusal: Refusal) {
            if (ended) return
            parts.refusals.count(refusal)
            if (answer.started) cut(refusal) else writeRefusal(refusal)
        }

        private fun cut(refusal: Refusal) {
            parts.log.log(
                GatewayEvent.AnswerAborted(
                    id?.text.orEmpty(),
                    "${refusal.reason.code}: ${refusal.detail.orEmpty()}",
                    parts.clock().millisecondsSince(arrivedAt),
                    null,
                ),
            )
            end()
            answer.cut()
        }

        private fun writeRefusal(refusal: Refusal) =
            parts.refusals.write(request, RefusalWriter.Subject(id, arrivedAt, revision), refusal)

        fun callerLeft() {
            if (ended) return
            end()
            val after = parts.clock().millisecondsSince(arrivedAt)
            parts.metrics.counters.event("caller-left")
            parts.log.log(GatewayEvent.CallerDisconnected(id?.text.orEmpty(), after))
            job?.cancel()
        }

        fun end() {
            if (ended) return
            ended = true
            parts.stop.ended()
        }
    }

    /** Tells a delivered answer apart from a deadline that passed. */
    private class Outcome(val refusal: Refusal?)

    private companion object {
        /** All callers of a data centre may connect at once after a failure. */
        const val ACCEPT_BACKLOG = 1_024
    }
}
