package org.vanilladale.agent

import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.CacheEvent
import org.vanilladale.schema.CacheEvents
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Reads the cache events of a model engine and passes them on in batches. */
internal class CacheEventReader(
    vertx: Vertx,
    private val engineUrl: String,
    private val target: TargetId,
    private val publish: (CacheEvents) -> Unit,
) {
    private val client = WebClient.wrap(createCheckedHttpClient(vertx))
    private var last = 0L

    /** Reads until the calling coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL_MILLISECONDS)
            runCatchingIo { readOnce() }
        }
    }

    private suspend fun readOnce() {
        val response = client.getAbs("$engineUrl/v1/cache-events?after=$last")
            .timeout(INTERVAL_MILLISECONDS)
            .send()
            .coAwait()
        if (response.statusCode() != HTTP_OK) return
        val body = response.bodyAsJsonObject()
        last = body.getLong("last")
        body.getJsonArray("events")
            .mapNotNull { eventOrNull(it as JsonObject) }
            .chunked(EVENTS_A_FRAME)
            .forEach { publish(CacheEvents(target, it)) }
    }

    private fun eventOrNull(json: JsonObject): CacheEvent? =
        PrefixId.parseOrNull(json.getString("prefix", ""))?.let { prefix ->
            val raisedAt = Timestamp.fromEpochMilliseconds(json.getLong("raisedAt"))
            CacheEvent(prefix, json.getBoolean("stored"), raisedAt)
        }

    private companion object {
        /** Events are hints that may be late, so rare batches keep the control traffic low. */
        const val INTERVAL_MILLISECONDS = 1_000L

        /** Keeps a frame far below its limit. */
        const val EVENTS_A_FRAME = 256
        const val HTTP_OK = 200
    }
}
