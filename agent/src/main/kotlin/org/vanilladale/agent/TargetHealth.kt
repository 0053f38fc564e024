package org.vanilladale.agent

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.vanilladale.runtime.runCatchingIo

/** Health check of the target of this VM. */
internal class TargetHealth(vertx: Vertx, private val targetUrl: String) {
    private val client = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_MILLISECONDS).setKeepAlive(false),
    )

    /**
     * Returns false when no connection for `GET /health` can be opened.
     *
     * A target that is ending may accept a connection and drop it, so a dropped one is tried again.
     */
    suspend fun acceptsConnections(): Boolean {
        repeat(ATTEMPTS) {
            val options = RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI("$targetUrl/health")
                .setTimeout(ANSWER_MILLISECONDS)
            val request = runCatchingIo { client.request(options).coAwait() } ?: return false
            if (runCatchingIo { request.send().coAwait().statusCode() } != null) return true
            delay(PAUSE_MILLISECONDS)
        }
        return true
    }

    private companion object {
        const val CONNECT_MILLISECONDS = 1_000
        const val ANSWER_MILLISECONDS = 1_000L
        const val PAUSE_MILLISECONDS = 50L
        const val ATTEMPTS = 4
    }
}
