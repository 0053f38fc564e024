package org.vanilladale.agent

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.withContext
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.Submit

/** Calls a plain service once and passes its whole answer on. */
public class PlainServiceCaller(vertx: Vertx, private val serviceUrl: String, connections: Int) {
    private val client =
        createCheckedHttpClient(vertx, pool = PoolOptions().setHttp1MaxSize(connections))

    /** The function that the agent calls. */
    public val caller: TargetCaller = ::call

    // A handler that is added on another thread than the event loop's can come after the event.
    private val eventLoop = vertx.dispatcher()

    private suspend fun call(
        submit: Submit,
        gate: DispatchGate,
        onText: suspend (String) -> Unit,
    ): TargetOutcome = withContext(eventLoop) { callOnEventLoop(submit, gate, onText) }

    private suspend fun callOnEventLoop(
        submit: Submit,
        gate: DispatchGate,
        onText: suspend (String) -> Unit,
    ): TargetOutcome {
        val options = RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI(serviceUrl + submit.path)
            .putHeader("service-key", "${submit.workspace}/${submit.key}")
            .putHeader("content-type", submit.contentType)
        val request = runCatchingIo { client.request(options).coAwait() }
            ?: return TargetOutcome.Unreachable("no connection to the service at $serviceUrl")
        var finished = false
        try {
            gate()?.let { return TargetOutcome.Withheld(it) }
            // The handler is set before the request is sent and runs on the event loop. Set later,
            // it can miss the end of an answer that has arrived already, and wait for ever.
            val received = request.response()
                .compose { response -> response.body().map { response.statusCode() to it } }
            val answer = runCatchingIo {
                request.end(Buffer.buffer(submit.body)).coAwait()
                received.coAwait()
            } ?: return TargetOutcome.Broken("the service closed the connection")
            finished = true
            val (status, body) = answer
            if (status !in SUCCESS) {
                return TargetOutcome.Failed(RefusalReason.TARGET_FAILED, "status $status")
            }
            onText(body.toString(Charsets.UTF_8))
            return TargetOutcome.Completed
        } finally {
            if (!finished) request.reset()
        }
    }

    private companion object {
        val SUCCESS: IntRange = 200..299
    }
}
