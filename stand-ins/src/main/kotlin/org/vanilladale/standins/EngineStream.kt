package org.vanilladale.standins

import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject

/** One request in the engine: produces one token a step until it has [tokens] of them. */
internal class EngineStream(
    val id: String,
    val prompt: ByteArray,
    val tokens: Int,
    val priority: Int,
    var next: Int,
    private val response: HttpServerResponse,
) {
    @Volatile
    var cancelled: Boolean = false

    /** Steps that remain before the first token. */
    var prefillSteps = 0

    val done: Boolean get() = cancelled || next >= tokens

    fun step() {
        if (done) return
        if (prefillSteps > 0) {
            prefillSteps -= 1
            return
        }
        writeLine(JsonObject().put("text", AnswerTokens.token(prompt, next)))
        next += 1
        if (next >= tokens) finish()
    }

    /**
     * Sends the tokens up to [produced] at once, as a resumed stream does. A caller that holds all
     * tokens lacks only the end mark.
     */
    fun replay(produced: Int) {
        if (done) finish()
        while (!done && next < produced) step()
    }

    private fun finish() {
        writeLine(JsonObject().put("done", true).put("tokens", tokens))
        response.end()
    }

    /** Breaks the answer off without its end mark. */
    fun cutOff() {
        cancelled = true
        response.reset()
    }

    private fun writeLine(line: JsonObject) {
        if (!response.closed()) response.write(line.encode() + "\n")
    }
}
