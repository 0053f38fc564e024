package org.vanilladale.bench.path

import java.net.URI
import java.net.http.HttpRequest
import java.nio.charset.StandardCharsets
import java.util.Base64

/** One way to the same engine: creates the request with number [number] for [prompt]. */
internal typealias PathTarget = (number: Long, prompt: String) -> HttpRequest

/** Returns requests straight to an engine at [url], as its agent sends them. */
internal fun directTarget(url: String): PathTarget = { number, prompt ->
    val encoded = Base64.getEncoder().encodeToString(prompt.toByteArray(StandardCharsets.UTF_8))
    val body = """{"stream":"direct/$number","prompt":"$encoded","priority":5,"continue":""}"""
    HttpRequest.newBuilder(URI("$url/v1/generate"))
        .header("content-type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build()
}

/** Returns requests of [kind] through the entry at [url]. */
internal fun entryTarget(url: String, kind: String, workspaces: Int): PathTarget =
    { number, prompt ->
        HttpRequest.newBuilder(URI("$url/v1/requests"))
            .header("vanilladale-workspace", "workspace-${number % workspaces}")
            .header("vanilladale-kind", kind)
            .header("vanilladale-request-key", "bench-$number")
            .header("content-type", "text/plain")
            .POST(HttpRequest.BodyPublishers.ofString(prompt))
            .build()
    }
