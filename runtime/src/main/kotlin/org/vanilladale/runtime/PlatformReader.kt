package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.vanilladale.schema.Revision

/** Reads the configuration service and the VM list of the platform. */
public class PlatformReader(
    vertx: Vertx,
    private val configurationServiceUrl: String,
    private val vmListUrl: String,
) {
    private val client = WebClient.create(vertx)

    /**
     * Reads the tables that are newer than [after]; waits up to [waitMilliseconds] for them.
     *
     * Returns null when there is nothing newer or the service can't be read.
     */
    public suspend fun readTables(after: Revision?, waitMilliseconds: Long): PublishedTables? {
        val query = "?after=${after?.value ?: -1}&wait=$waitMilliseconds"
        val response = get("$configurationServiceUrl/v1/tables$query", waitMilliseconds)
        val body = response?.takeIf { it.statusCode() == HTTP_OK }?.bodyAsJsonObject()
        return body?.let {
            PublishedTables(
                Revision(it.getLong("revision")),
                it.getString("routes"),
                it.getString("pools"),
            )
        }
    }

    /** Returns the rows of the VM list, or null when it can't be read. */
    public suspend fun readVms(): List<JsonObject>? {
        val response = get("$vmListUrl/v1/vms", 0)
        val body = response?.takeIf { it.statusCode() == HTTP_OK }?.bodyAsJsonObject()
        return body?.getJsonArray("vms")?.map { it as JsonObject }
    }

    private suspend fun get(url: String, waitMilliseconds: Long): HttpResponse<Buffer>? =
        runCatchingIo {
            client.getAbs(url).timeout(waitMilliseconds + READ_MILLISECONDS).send().coAwait()
        }

    private companion object {
        const val HTTP_OK = 200

        /** The platform answers within milliseconds; this leaves room for a pause. */
        const val READ_MILLISECONDS = 2_000L
    }
}
