package org.vanilladale.bench.call

import java.io.IOException
import java.io.UncheckedIOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.vanilladale.schema.BindingAnswer
import org.vanilladale.schema.EntryList
import org.vanilladale.schema.RefusalAnswer

/** Speaks the caller protocol to entries. */
internal class EntryClient {
    private val client = HttpClient.newBuilder()
        .connectTimeout(Duration.ofSeconds(CONNECT_SECONDS))
        .build()

    /** Returns the addresses that [entry] lists, or none when it can't be asked. */
    fun entries(entry: String): List<String> = try {
        val request = HttpRequest.newBuilder(URI("http://$entry/v1/entries"))
            .timeout(Duration.ofSeconds(READ_SECONDS))
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        json.decodeFromString(EntryList.serializer(), response.body())
            .entries.map { it.address.text }
    } catch (_: IOException) {
        emptyList()
    } catch (_: SerializationException) {
        emptyList()
    }

    /** Asks [entry] for a binding; the second part is the binding when the first is `Whole`. */
    fun bind(entry: String, call: CallRequest): Pair<StreamResult, String?> = try {
        val request = request(entry, "/v1/bindings", call)
            .timeout(Duration.ofSeconds(READ_SECONDS))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        val status = response.statusCode()
        if (status == HTTP_OK) {
            val answer = json.decodeFromString(BindingAnswer.serializer(), response.body())
            StreamResult.Whole to answer.binding.text
        } else {
            refusal(status, response.body()) to null
        }
    } catch (failed: IOException) {
        StreamResult.ConnectionFailed("$entry: $failed") to null
    } catch (failed: SerializationException) {
        StreamResult.Damaged("$entry: ${failed.message}") to null
    }

    /** Sends [call] to [entry] and reads the answer into [answer]. */
    fun send(
        entry: String,
        call: CallRequest,
        binding: String?,
        resumeTarget: String?,
        answer: AnswerReassembly,
        onTarget: (String) -> Unit,
    ): StreamResult = try {
        val builder = request(entry, "/v1/requests", call)
            .timeout(Duration.ofSeconds(READ_SECONDS))
            .header("content-type", call.contentType)
            .POST(HttpRequest.BodyPublishers.ofByteArray(call.body))
        binding?.let { builder.header("vanilladale-binding", it) }
        if (answer.offset > 0) {
            builder.header("vanilladale-offset", answer.offset.toString())
            resumeTarget?.let { builder.header("vanilladale-resume-target", it) }
        }
        val response = client.send(builder.build(), HttpResponse.BodyHandlers.ofLines())
        response.headers().firstValue("vanilladale-resume-target").ifPresent(onTarget)
        response.body().use { lines ->
            if (response.statusCode() == HTTP_OK) {
                read(lines.iterator(), answer)
            } else {
                refusal(response.statusCode(), lines.iterator().asSequence().joinToString("\n"))
            }
        }
    } catch (failed: IOException) {
        StreamResult.ConnectionFailed("$entry: $failed")
    } catch (failed: UncheckedIOException) {
        StreamResult.ConnectionFailed("$entry: ${failed.cause}")
    }

    private fun read(lines: Iterator<String>, answer: AnswerReassembly): StreamResult {
        while (lines.hasNext()) {
            when (val result = answer.take(lines.next())) {
                LineResult.Continues -> Unit
                LineResult.Whole -> return StreamResult.Whole
                is LineResult.Refused -> return StreamResult.Refused(result.refusal, HTTP_OK)
                is LineResult.Damaged -> return StreamResult.Damaged(result.found)
            }
        }
        return StreamResult.ConnectionFailed("the answer ended without an end line")
    }

    private fun request(entry: String, path: String, call: CallRequest): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://$entry$path"))
            .header("vanilladale-workspace", call.workspace)
            .header("vanilladale-kind", call.kind)
            .header("vanilladale-request-key", call.key)

    private fun refusal(status: Int, body: String): StreamResult = try {
        StreamResult.Refused(json.decodeFromString(RefusalAnswer.serializer(), body), status)
    } catch (_: SerializationException) {
        if (status == HTTP_NOT_FOUND) {
            StreamResult.Unavailable
        } else {
            StreamResult.Damaged("status $status without a refusal")
        }
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val CONNECT_SECONDS = 2L
        const val READ_SECONDS = 30L
        val json = Json { ignoreUnknownKeys = true }
    }
}
