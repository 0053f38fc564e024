package org.vanilladale.agent.rollout

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.DecodeException
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.vanilladale.core.rollout.EngineModels
import org.vanilladale.core.rollout.LoadCommand
import org.vanilladale.core.rollout.LoadFailure
import org.vanilladale.core.rollout.LoadRefusal
import org.vanilladale.core.rollout.LoadResult
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.Adapter
import org.vanilladale.schema.AdapterName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion

/** Client of the API with which a model engine loads and unloads models and adapters. */
internal class EngineLoads(vertx: Vertx, private val engineUrl: String) {
    private val client = WebClient.wrap(createCheckedHttpClient(vertx))

    /**
     * Reads what the engine has loaded, or returns null if [READ_ATTEMPTS] reads in a row fail.
     *
     * A single failed or late read doesn't take the target out of service.
     */
    suspend fun readOrNull(): EngineModels? {
        repeat(READ_ATTEMPTS - 1) {
            readOnceOrNull()?.let { return it }
            delay(RETRY_DELAY_MILLISECONDS)
        }
        return readOnceOrNull()
    }

    private suspend fun readOnceOrNull(): EngineModels? {
        val response = runCatchingIo {
            client.getAbs(
                "$engineUrl/v1/models",
            ).timeout(READ_TIMEOUT_MILLISECONDS).send().coAwait()
        }
        return response?.takeIf {
            it.statusCode() == HTTP_OK
        }?.let { bodyOrNull(it) }?.let { body -> valueOrNull { modelsOrNull(body) } }
    }

    /**
     * Sends [command] and waits until it ends. There is no timeout, because a load that was
     * abandoned here could still take effect in the engine.
     */
    suspend fun send(command: LoadCommand): LoadResult {
        val body = JsonObject()
            .put("fence", command.fence.value)
            .put("name", command.name)
            .put("version", command.version.text)
        val response = runCatchingIo {
            client.postAbs(
                "$engineUrl/v1/models/${command.kind.code}",
            ).sendJsonObject(body).coAwait()
        } ?: return LoadResult.Failed(LoadFailure.ENGINE_UNREACHABLE)
        return when (response.statusCode()) {
            HTTP_NO_CONTENT -> LoadResult.Completed
            HTTP_CONFLICT -> LoadResult.Refused(LoadRefusal.FENCED)
            else -> failed(bodyOrNull(response))
        }
    }

    private fun failed(body: JsonObject?) = LoadResult.Failed(
        LoadFailure.fromCode(valueOrNull { body?.getString("reason") }),
        valueOrNull { body?.getLong("retryAt") }?.let { Deadline.fromEpochMilliseconds(it) },
    )

    /** Returns null if the JSON has an unexpected type, for which Vert.x throws this exception. */
    private fun <T : Any> valueOrNull(read: () -> T?): T? = try {
        read()
    } catch (_: ClassCastException) {
        null
    }

    /**
     * Returns null if a name or version can't be parsed, because such a report doesn't mean that
     * nothing is loaded.
     */
    private fun modelsOrNull(json: JsonObject): EngineModels? {
        // getString would convert a value of any type to a string.
        val model = json.getValue("model") as String?
        val version = json.getValue("version") as String?
        val adapters = json.getJsonArray("adapters")?.map { adapterOrNull(it as JsonObject) }
        val models = EngineModels(
            model?.let(ModelName::parseOrNull),
            version?.let(ModelVersion::parseOrNull),
            adapters.orEmpty().filterNotNull(),
            json.getBoolean("loading", false),
        )
        return models.takeIf {
            (it.model != null || model == null) && (it.version != null || version == null) &&
                it.adapters.size == adapters.orEmpty().size
        }
    }

    private fun adapterOrNull(json: JsonObject): Adapter? {
        val name = AdapterName.parseOrNull(json.getString("name", "")) ?: return null
        val version = ModelVersion.parseOrNull(json.getString("version", "")) ?: return null
        return Adapter(name, version)
    }

    private fun bodyOrNull(response: HttpResponse<Buffer>): JsonObject? = try {
        response.bodyAsJsonObject()
    } catch (_: DecodeException) {
        null
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_NO_CONTENT = 204
        const val HTTP_CONFLICT = 409

        /** All attempts together take less than the gap that counts as a pause of the agent. */
        const val READ_TIMEOUT_MILLISECONDS = 750L
        const val RETRY_DELAY_MILLISECONDS = 100L
        const val READ_ATTEMPTS = 3
    }
}
