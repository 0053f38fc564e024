package org.vanilladale.runtime

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonArray
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
    private val client = WebClient.wrap(createCheckedHttpClient(vertx))

    /** Reads the tables; an answer is short when the service still holds [held]. */
    public suspend fun readTables(held: Revision?): ConfigurationRead {
        val query = held?.let { "?held=${it.value}" }.orEmpty()
        val response = get("$configurationServiceUrl/v1/tables$query")
        return when (response?.statusCode()) {
            HTTP_OK -> publishedOrNull(response)?.let { ConfigurationRead.Published(it) }
            HTTP_NO_CONTENT, HTTP_NOT_FOUND -> ConfigurationRead.Unchanged
            else -> null
        } ?: ConfigurationRead.Failed
    }

    private fun publishedOrNull(response: HttpResponse<Buffer>): PublishedTables? {
        val body = objectOrNull(response) ?: return null
        val revision = body.getValue("revision") as? Number ?: return null
        val routes = body.getValue("routes") as? String ?: return null
        val pools = body.getValue("pools") as? String ?: return null
        return PublishedTables(Revision(revision.toLong()), routes, pools)
    }

    private fun objectOrNull(response: HttpResponse<Buffer>): JsonObject? = try {
        response.bodyAsJsonObject()
    } catch (_: DecodeException) {
        null
    }

    /** Returns the rows of the VM list, or null when it can't be read. */
    public suspend fun readVms(): List<JsonObject>? {
        val response = get("$vmListUrl/v1/vms")
        val body = response?.takeIf { it.statusCode() == HTTP_OK }?.let(::objectOrNull)
        return (body?.getValue("vms") as? JsonArray)?.filterIsInstance<JsonObject>()
    }

    private suspend fun get(url: String): HttpResponse<Buffer>? =
        runCatchingIo { client.getAbs(url).timeout(READ_MILLISECONDS).send().coAwait() }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_NO_CONTENT = 204
        const val HTTP_NOT_FOUND = 404

        /** The platform answers within milliseconds; this leaves room for a pause. */
        const val READ_MILLISECONDS = 2_000L
    }
}
