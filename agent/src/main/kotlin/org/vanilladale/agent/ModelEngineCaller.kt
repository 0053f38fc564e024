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
import kotlinx.coroutines.channels.Channel
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.Submit

/** Calls a model engine and streams its answer. */
public class ModelEngineCaller(vertx: Vertx, private val engineUrl: String, connections: Int) {
    private val client = vertx.createHttpClient(PoolOptions().setHttp1MaxSize(connections))

    /** The function that the agent calls. */
    public val caller: TargetCaller = ::call

    private sealed interface Line {
        class Text(val json: JsonObject) : Line

        class Status(val code: Int) : Line

        data object End : Line

        class Broken(val detail: String) : Line
    }

    private suspend fun call(
        submit: Submit,
        gate: DispatchGate,
        onText: suspend (String) -> Unit,
    ): TargetOutcome {
        val options = RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI("$engineUrl/v1/generate")
        val request = runCatchingIo { client.request(options).coAwait() }
            ?: return TargetOutcome.Unreachable("no connection to the engine at $engineUrl")
        val lines = Channel<Line>(Channel.UNLIMITED)
        var finished = false
        try {
            receiveInto(request, lines)
            gate()?.let { return TargetOutcome.Withheld(it) }
            request.end(requestBody(submit))
            val outcome = passOn(lines, onText)
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

    private fun receiveInto(request: HttpClientRequest, lines: Channel<Line>) {
        request.exceptionHandler { lines.trySend(Line.Broken(it.toString())) }
        request.response()
            .onSuccess { response -> receiveLines(response, lines) }
            .onFailure { lines.trySend(Line.Broken(it.toString())) }
    }

    private fun receiveLines(response: HttpClientResponse, lines: Channel<Line>) {
        if (response.statusCode() != HTTP_OK) lines.trySend(Line.Status(response.statusCode()))
        val parser = RecordParser.newDelimited("\n") { record ->
            lines.trySend(Line.Text(JsonObject(record)))
        }
        response.handler(parser)
        response.endHandler { lines.trySend(Line.End) }
        response.exceptionHandler { lines.trySend(Line.Broken(it.toString())) }
    }

    private suspend fun passOn(
        lines: Channel<Line>,
        onText: suspend (String) -> Unit,
    ): TargetOutcome {
        var done = false
        for (line in lines) {
            when (line) {
                is Line.Text -> {
                    line.json.getString("text")?.let { onText(it) }
                    done = done || line.json.getBoolean("done", false)
                }

                is Line.Status -> {
                    // An engine without the model or adapter has not run the request.
                    val absent = line.code == HTTP_UNAVAILABLE
                    val reason = if (absent) RefusalReason.LOADING else RefusalReason.TARGET_FAILED
                    return TargetOutcome.Failed(reason, "status ${line.code}")
                }

                is Line.Broken -> return TargetOutcome.Broken(line.detail)

                Line.End -> return if (done) {
                    TargetOutcome.Completed
                } else {
                    TargetOutcome.Broken("the engine ended the answer without its end mark")
                }
            }
        }
        return TargetOutcome.Broken("the answer channel was closed")
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
    }
}
