package org.vanilladale.agent

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonObject
import io.vertx.core.parsetools.RecordParser
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.withContext
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.Submit

/** Calls a model engine and streams its answer. */
public class ModelEngineCaller(vertx: Vertx, private val engineUrl: String, connections: Int) {
    private val client =
        createCheckedHttpClient(vertx, pool = PoolOptions().setHttp1MaxSize(connections))

    // All connections to the engine and the coroutines that read them share one event loop, so that
    // a token needs no change of threads.
    private val eventLoop = vertx.dispatcher()

    /** The function that the agent calls. */
    public val caller: TargetCaller = ::call

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
            .setAbsoluteURI("$engineUrl/v1/generate")
        val request = runCatchingIo { client.request(options).coAwait() }
            ?: return TargetOutcome.Unreachable("no connection to the engine at $engineUrl")
        var finished = false
        try {
            val waiting = receive(request)
            gate()?.let { return TargetOutcome.Withheld(it) }
            request.end(requestBody(submit))
            val outcome = waiting.passOn(onText)
            finished = outcome is TargetOutcome.Completed
            return outcome
        } finally {
            if (!finished) request.reset()
        }
    }

    private fun requestBody(submit: Submit): Buffer = JsonObject()
        .put("stream", "${submit.workspace}/${submit.key}")
        .put("prompt", submit.body)
        .put("priority", submit.priority)
        .put("continue", submit.delivered)
        .put("prefix", submit.prefix?.text)
        .put("adapter", submit.adapter?.text)
        .toBuffer()

    private fun receive(request: HttpClientRequest): WaitingText {
        var response: HttpClientResponse? = null
        val waiting = WaitingText(pause = { response?.pause() }, resume = { response?.resume() })
        request.exceptionHandler { waiting.end(TargetOutcome.Broken(it.toString())) }
        request.response()
            .onSuccess {
                response = it
                receiveLines(it, waiting)
            }
            .onFailure { waiting.end(TargetOutcome.Broken(it.toString())) }
        return waiting
    }

    private fun receiveLines(response: HttpClientResponse, waiting: WaitingText) {
        val status = response.statusCode()
        if (status != HTTP_OK) {
            // An engine without the model or adapter has not run the request.
            val absent = status == HTTP_UNAVAILABLE
            val reason = if (absent) RefusalReason.LOADING else RefusalReason.TARGET_FAILED
            waiting.end(TargetOutcome.Failed(reason, "status $status"))
            return
        }
        var done = false
        val parser = RecordParser.newDelimited("\n") { record ->
            val line = JsonObject(record)
            line.getString("text")?.let { waiting.add(it) }
            done = done || line.getBoolean("done", false)
        }
        response.handler(parser)
        response.endHandler { waiting.end(if (done) TargetOutcome.Completed else NO_END_MARK) }
        response.exceptionHandler { waiting.end(TargetOutcome.Broken(it.toString())) }
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        val NO_END_MARK = TargetOutcome.Broken("the engine ended the answer without its end mark")
    }
}
