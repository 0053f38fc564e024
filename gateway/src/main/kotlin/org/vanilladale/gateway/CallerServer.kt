package org.vanilladale.gateway

import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.CoroutineVerticle
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.util.concurrent.TimeUnit
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
import org.vanilladale.schema.RunState
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
    val servers: CallerServers,
    val refusals: RefusalWriter,
    val log: GatewayLog,
    val metrics: GatewayMetrics,
    val clock: () -> Timestamp,
)

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
            // A connection that may still change to HTTP/2 is not closed by a shutdown.
            .setHttp2ClearTextEnabled(false)
        val server = vertx.createHttpServer(options)
            .connectionHandler(shared.drain::connectionOpened)
            .requestHandler(::receive)
            .listen(shared.address.port, shared.address.host)
            .coAwait()
        shared.servers.opened(server)
    }

    private fun receive(request: HttpServerRequest) {
        val arrivedAt = shared.clock()
        val exchange = CallerExchange(request, arrivedAt)
        exchange.begin()
        request.response().endHandler { exchange.end() }
        request.response().closeHandler { exchange.connectionClosed("closed") }
        request.response().exceptionHandler { cause ->
            exchange.connectionClosed(cause.message ?: cause.javaClass.simpleName)
        }
        if (shared.drain.closesConnections) request.response().putHeader("connection", "close")
        shared.dialect.readRequestHead(request, arrivedAt).fold(exchange::refuse) { head ->
            exchange.id = head.request
            shared.admission.admit(head, arrivedAt).fold(exchange::refuse, exchange::accept)
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
        private var released = false
        private var cutLogged = false
        private var answerBytes = 0L
        private var lastTransferAt = arrivedAt
        private val answer = CallerAnswer(request.response(), ::answerPassed, ::release)
        private val inFlight =
            DrainState.InFlight({ requests.launch { interrupt() } }, ::reportUnfinished)
        private var forwarded: ForwardedRequest? = null

        fun begin() = shared.drain.requestBegan(inFlight)

        fun accept(admitted: AdmittedHead) {
            revision = admitted.tables.revision.value
            val times = timesOf(admitted)
            val refusal = refusalOrNull(admitted, times, AcceptanceStep.HEAD)
            if (refusal == null) readBody(admitted, times) else refuse(refusal)
        }

        private fun refusalOrNull(
            admitted: AdmittedHead,
            times: RequestTimes,
            step: AcceptanceStep,
        ): Refusal? = shared.drain.refusalOrNull(admitted.head, admitted.pool, times, step)

        private fun readBody(admitted: AdmittedHead, times: RequestTimes) {
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
                lastTransferAt = shared.clock()
                if (refused) return@handler
                if (body.length() + chunk.length() > admitted.tables.limits.maximumBodyBytes) {
                    refuseBody(RefusalReason.BODY_TOO_LARGE)
                } else {
                    body.appendBuffer(chunk)
                }
            }
            request.endHandler {
                vertx.cancelTimer(timer)
                if (!refused && !ended) forwardIfInTime(admitted, times, body)
            }
        }

        /** Forwards the request, unless the time that its body took leaves too little. */
        private fun forwardIfInTime(admitted: AdmittedHead, headTimes: RequestTimes, body: Buffer) {
            val times = headTimes.copy(receivedAt = shared.clock())
            val refusal = refusalOrNull(admitted, times, AcceptanceStep.BODY)
            if (refusal == null) forward(admitted, times, body) else refuse(refusal)
        }

        private fun forward(admitted: AdmittedHead, times: RequestTimes, body: Buffer) {
            val accepted = ForwardedRequest(
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
            forwarded = accepted
            job = requests.launch(CoroutineExceptionHandler { _, fault -> handleFailure(fault) }) {
                serve(accepted)
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
            } catch (broken: IOException) {
                callerDisconnected(broken.message ?: broken.javaClass.simpleName)
            } catch (broken: VertxException) {
                callerDisconnected(broken.message ?: broken.javaClass.simpleName)
            }
        }

        fun refuse(refusal: Refusal) {
            if (ended) return
            shared.refusals.count(refusal)
            if (answer.isStarted) abort(refusal) else writeRefusal(refusal)
        }

        private fun abort(refusal: Refusal) {
            logCut("${refusal.reason.code}: ${refusal.detail.orEmpty()}")
            end()
            answer.abort()
        }

        private fun logCut(reason: String) {
            if (cutLogged) return
            cutLogged = true
            shared.log.log(
                GatewayEvent.AnswerAborted(
                    id?.text.orEmpty(),
                    reason,
                    step,
                    answerProgress,
                    shared.clock().millisecondsSince(arrivedAt),
                ),
            )
        }

        /** Logs a request that is still in flight when the process ends. */
        private fun reportUnfinished() = logCut("the process ends")

        private fun writeRefusal(refusal: Refusal) {
            val subject = RefusalWriter.Subject(id, arrivedAt, revision)
            shared.refusals.write(request, subject, refusal).onComplete { release() }
            if (request.isEnded) return
            // Unread bytes would reset the connection and could take the refusal with them.
            vertx.setTimer(LINGER_MILLISECONDS) { request.connection().close() }
        }

        /** How far the request has come, in words for the log. */
        private val step: String
            get() = when {
                ended -> "its answer is being written"
                forwarded == null -> "its body is not complete"
                answer.isStarted -> "its answer has begun"
                forwarded?.mayHaveRun == true -> "it is at a target"
                else -> "it waits for a place"
            }

        private val answerProgress: GatewayEvent.AnswerProgress
            get() = GatewayEvent.AnswerProgress(
                forwarded?.attempts ?: 0,
                forwarded?.progress?.events ?: 0,
                forwarded?.progress?.lastEvent,
                answerBytes,
            )

        /** Refuses the request, or closes its connection if part of the answer was written. */
        private fun interrupt() {
            val run = if (forwarded?.mayHaveRun == true) RunState.UNKNOWN else RunState.NO
            refuse(Refusal(RefusalReason.LEAVING, run, "the process ends: $step"))
            job?.cancel()
        }

        private fun answerPassed(bytes: Int) {
            answerBytes += bytes
            lastTransferAt = shared.clock()
        }

        /** Called when the connection ends with [reason], here or at the caller. */
        fun connectionClosed(reason: String) {
            if (released) return
            val idleMilliseconds = shared.clock().millisecondsSince(lastTransferAt)
            when {
                shared.servers.isClosed -> cut("the process ends and closes its connections")

                idleMilliseconds >= shared.limits.idleTimeoutMilliseconds ->
                    cut("the connection was idle for $idleMilliseconds ms")

                // The whole answer was passed to the connection, which ended before it was written.
                ended -> cut("connection: $reason")

                else -> callerDisconnected(reason)
            }
            release()
        }

        private fun cut(reason: String) {
            logCut(reason)
            end()
            job?.cancel()
        }

        fun callerDisconnected(reason: String) {
            if (ended) return
            shared.metrics.counters.event("caller-left")
            shared.log.log(
                GatewayEvent.CallerDisconnected(
                    id?.text.orEmpty(),
                    reason,
                    step,
                    answerProgress,
                    shared.clock().millisecondsSince(arrivedAt),
                ),
            )
            end()
            job?.cancel()
        }

        fun end() {
            ended = true
        }

        /** Called when the answer has been written or its connection is closed. */
        private fun release() {
            released = true
            shared.drain.requestEnded(inFlight)
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
