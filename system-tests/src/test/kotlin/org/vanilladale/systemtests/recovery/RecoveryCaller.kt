package org.vanilladale.systemtests.recovery

import io.vertx.core.json.JsonObject
import java.io.IOException
import java.io.UncheckedIOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.stream.Stream

/** How one request ended. */
sealed interface CallEnd {
    data class Whole(val text: String) : CallEnd

    data class Refused(val reason: String, val wasNotRun: Boolean) : CallEnd

    data class Lost(val found: String) : CallEnd
}

/** Sends single requests of the caller protocol. */
class RecoveryCaller(private val workspace: String) {
    private val client: HttpClient = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(CONNECT_SECONDS))
        .build()

    /** Returns address and data centre of the entries that [entry] lists, and until when. */
    fun entriesOrNull(entry: String, dataCentre: String): JsonObject? = try {
        val uri = URI("http://$entry/v1/entries?dataCentre=$dataCentre")
        val request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(LIST_SECONDS))
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        JsonObject(answer.body()).takeIf { answer.statusCode() == HTTP_OK }
    } catch (_: IOException) {
        null
    }

    /** Asks [entry] for a binding of [key]; the end is `Whole` with the binding as its text. */
    fun bind(entry: String, kind: String, key: String): CallEnd = ending {
        val request = head(entry, "/v1/bindings", kind, key)
            .POST(HttpRequest.BodyPublishers.noBody())
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        if (answer.statusCode() == HTTP_OK) {
            CallEnd.Whole(JsonObject(answer.body()).getString("binding"))
        } else {
            refused(JsonObject(answer.body()))
        }
    }

    /**
     * Sends a request and reads its lines; [held] is the text of earlier streams and gets the
     * pieces of this one. [onPiece] is called for each piece.
     */
    fun send(
        entry: String,
        kind: String,
        key: String,
        held: StringBuilder,
        binding: String? = null,
        onPiece: () -> Unit = {},
    ): CallEnd = ending {
        val request = head(entry, "/v1/requests", kind, key)
            .POST(HttpRequest.BodyPublishers.ofString(key))
        if (binding != null) request.header("vanilladale-binding", binding)
        if (held.isNotEmpty()) request.header("vanilladale-offset", held.length.toString())
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofLines())
        answer.body().use { lines -> read(lines, held, onPiece) }
    }

    private fun read(lines: Stream<String>, held: StringBuilder, onPiece: () -> Unit): CallEnd {
        for (text in lines) {
            val line = JsonObject(text)
            val refusal = line.getJsonObject("refusal") ?: line.takeIf { it.containsKey("run") }
            val piece = line.getString("text")
            when {
                refusal != null -> return refused(refusal)

                line.getBoolean("end", false) -> {
                    val isWhole = line.getLong("length") == held.length.toLong()
                    return if (isWhole) CallEnd.Whole(held.toString()) else CallEnd.Lost("length")
                }

                line.getLong("offset") != held.length.toLong() -> return CallEnd.Lost("gap")

                else -> {
                    held.append(piece)
                    onPiece()
                }
            }
        }
        return CallEnd.Lost("no-end")
    }

    private fun head(entry: String, path: String, kind: String, key: String) =
        HttpRequest.newBuilder(URI("http://$entry$path"))
            .timeout(Duration.ofSeconds(ANSWER_SECONDS))
            .header("vanilladale-workspace", workspace)
            .header("vanilladale-kind", kind)
            .header("vanilladale-request-key", key)

    private fun refused(body: JsonObject) =
        CallEnd.Refused(body.getString("reason"), body.getString("run") == "no")

    private fun ending(block: () -> CallEnd): CallEnd = try {
        block()
    } catch (lost: IOException) {
        CallEnd.Lost(lost.javaClass.simpleName)
    } catch (lost: UncheckedIOException) {
        CallEnd.Lost(checkNotNull(lost.cause).javaClass.simpleName)
    }

    private companion object {
        const val CONNECT_SECONDS = 1L
        const val LIST_SECONDS = 2L
        const val ANSWER_SECONDS = 8L
        const val HTTP_OK = 200
    }
}
