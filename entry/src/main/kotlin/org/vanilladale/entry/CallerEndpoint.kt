package org.vanilladale.entry

import arrow.core.Either
import arrow.core.flatMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.BindingAnswer
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryList
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.RunState

/** The HTTP endpoint for callers. */
internal class CallerEndpoint(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val settings: EntrySettings,
    private val counters: SystemCounters,
    private val entryList: (DataCentreName?) -> EntryList,
    private val bind: (CallerRequestHead) -> Either<Refusal, BindingAnswer>,
    private val run: suspend (CallerRequest, AnswerSink) -> Refusal?,
    private val isLeaving: () -> Boolean,
) {
    private val inFlightCount = AtomicInteger()

    /** The number of requests whose answer or refusal is not completely written. */
    val inFlight: Int get() = inFlightCount.get()

    @Volatile
    private var recentUntil = systemNow().deadlineAfter(0)

    /** True shortly after a request or the end of its answer, when more requests are likely. */
    val hasRecentRequests: Boolean get() = !recentUntil.hasPassed(systemNow())

    /** Starts to listen on the caller address of the settings. */
    suspend fun start(): HttpServer {
        val router = Router.router(vertx)
        // Makes callers of a leaving entry send their next request to another entry.
        router.route().handler { context ->
            recordRequest()
            context.addEndHandler { recordRequest() }
            if (isLeaving()) context.response().putHeader("connection", "close")
            context.next()
        }
        router.get("/v1/entries").handler { context ->
            val caller = context.request().getParam("dataCentre")
                ?.let(DataCentreName::parseOrNull)
            val body = Json.encodeToString(EntryList.serializer(), entryList(caller))
            context.response().putHeader("content-type", "application/json").end(body)
        }
        router.post("/v1/bindings").handler(::answerBinding)
        router.post("/v1/requests").handler(::receive)
        val address = settings.callerAddress
        val options = HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES)
        return vertx.createHttpServer(options)
            .requestHandler(router)
            .listen(address.port, address.host)
            .coAwait()
    }

    private fun recordRequest() {
        recentUntil = systemNow().deadlineAfter(RECENT_REQUEST_MILLISECONDS)
    }

    private fun answerBinding(context: RoutingContext) {
        CallerRequestHead.fromHeaders(context.request().headers()).flatMap(bind).fold(
            { refuse(context, it) },
            { answer ->
                val body = Json.encodeToString(BindingAnswer.serializer(), answer)
                context.response().putHeader("content-type", "application/json").end(body)
            },
        )
    }

    private fun receive(context: RoutingContext) {
        CallerRequestHead.fromHeaders(context.request().headers()).fold(
            { refuse(context, it) },
            { head -> collectBody(context, head) },
        )
    }

    /** Reads the body with a size limit and a deadline, which bound the memory per caller. */
    private fun collectBody(context: RoutingContext, head: CallerRequestHead) {
        val request = context.request()
        val body = Buffer.buffer()
        var refused = false
        val timer = vertx.setTimer(settings.bodyMilliseconds) {
            refused = true
            refuse(context, Refusal(RefusalReason.BODY_TOO_SLOW))
        }
        request.handler { chunk ->
            if (!refused && body.length() + chunk.length() > settings.maximumBodyBytes) {
                refused = true
                vertx.cancelTimer(timer)
                refuse(context, Refusal(RefusalReason.BODY_TOO_LARGE, detail = sizeLimit()))
            } else if (!refused) {
                body.appendBuffer(chunk)
            }
        }
        request.exceptionHandler { vertx.cancelTimer(timer) }
        request.endHandler {
            vertx.cancelTimer(timer)
            if (!refused) start(context, CallerRequest(head, contentType(request), body.bytes))
        }
    }

    private fun start(context: RoutingContext, request: CallerRequest) {
        val sink = HttpAnswerSink(context.response())
        inFlightCount.incrementAndGet()
        // Running on the event loop of the caller's connection avoids a thread switch per line.
        // The lazy start ensures that the handlers below are set before a refusal ends the answer.
        val job = scope.launch(vertx.dispatcher(), CoroutineStart.LAZY) {
            runCatchingIo {
                val refusal = run(request, sink)
                if (refusal == null) sink.end() else logAndRefuse(request, sink, refusal)
            }
        }
        job.invokeOnCompletion { inFlightCount.decrementAndGet() }
        context.response().closeHandler { job.cancel() }
        job.start()
    }

    private suspend fun logAndRefuse(
        request: CallerRequest,
        sink: HttpAnswerSink,
        refusal: Refusal,
    ) {
        counters.refused(refusal.reason)
        Logger.info {
            "entry: ${request.head.workspace}/${request.head.key} refused: " +
                "${refusal.reason.code}, run ${refusal.run.code}"
        }
        sink.refuse(refusal)
    }

    private fun refuse(context: RoutingContext, found: Refusal) {
        // An earlier copy of a bound request may have run.
        val bound = context.request().headers().contains("vanilladale-binding")
        val refusal = if (bound) found.copy(run = RunState.UNKNOWN) else found
        counters.refused(refusal.reason)
        context.response().putHeader("connection", "close")
        scope.launch { runCatchingIo { HttpAnswerSink(context.response()).refuse(refusal) } }
    }

    private fun contentType(request: HttpServerRequest): String =
        request.getHeader("content-type") ?: "application/octet-stream"

    private fun sizeLimit() = "the limit is ${settings.maximumBodyBytes} bytes"

    private companion object {
        const val MAX_HEADER_BYTES = 8 * 1024

        /**
         * Time after the last request for which a leaving entry keeps running. If the process ended
         * while a request was arriving, its connection would be reset. A caller whose stream has
         * just ended also needs time to fetch the list of other entries.
         */
        const val RECENT_REQUEST_MILLISECONDS = 1_000L
    }
}
