package org.vanilladale.entry

import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.json.Json
import org.vanilladale.core.explain.refusalAnswerOf
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.RefusalAnswer
import org.vanilladale.schema.TargetId

/** Writes an answer to a caller as NDJSON lines. */
internal class HttpAnswerSink(private val response: HttpServerResponse) : AnswerSink {
    override var started: Boolean = false
        private set

    override suspend fun write(line: AnswerLine, target: TargetId) {
        if (!started) {
            started = true
            response.setChunked(true)
                .putHeader("content-type", "application/x-ndjson")
                .putHeader("vanilladale-resume-target", target.text)
        }
        response.write(json.encodeToString(AnswerLine.serializer(), line) + "\n").coAwait()
    }

    /** Ends the answer. */
    suspend fun end() {
        if (!response.ended()) response.end().coAwait()
    }

    /** Ends the answer with [refusal], as a status or, after the first line, as the last line. */
    suspend fun refuse(refusal: Refusal) {
        if (response.ended() || response.closed()) return
        val body = refusalAnswerOf(refusal)
        if (started) {
            val line = AnswerLine(refusal = body)
            response.end(json.encodeToString(AnswerLine.serializer(), line) + "\n").coAwait()
        } else {
            response.setStatusCode(refusal.reason.httpStatus)
                .putHeader("content-type", "application/json")
                .end(json.encodeToString(RefusalAnswer.serializer(), body))
                .coAwait()
        }
    }

    private companion object {
        val json = Json { encodeDefaults = false }
    }
}
