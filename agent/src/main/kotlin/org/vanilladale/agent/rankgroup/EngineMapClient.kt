package org.vanilladale.agent.rankgroup

import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.vanilladale.core.rankgroup.EngineCommand
import org.vanilladale.core.rankgroup.EngineReadBack
import org.vanilladale.core.rankgroup.FlatCopies
import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.runtime.createCheckedHttpClient
import org.vanilladale.runtime.runCatchingIo
import org.vanilladale.schema.ArmedMap
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Step
import org.vanilladale.schema.Term

/**
 * State of the engine of a rank, as the engine reports it.
 *
 * @property stepMicroseconds mean time that the rank computes in a step, without waiting for others
 * @property holding true while the engine waits at a switch step
 */
internal class EngineStatus(
    val readBack: EngineReadBack,
    val stepMicroseconds: Long,
    val holding: Boolean,
)

/**
 * Client of the expert map API of one rank's engine.
 *
 * Commands have no timeout, because a command that was abandoned could still take effect after a
 * later one.
 */
internal class EngineMapClient(vertx: Vertx, private val engineUrl: String) {
    private val client = WebClient.wrap(
        createCheckedHttpClient(vertx, pool = PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)),
    )

    /** Reads the state of the engine, or returns null if the engine can't be reached. */
    suspend fun readBackOrNull(): EngineStatus? = getOrNull("/v1/map")?.let { statusOf(it) }

    /** Reads the active map, or returns null if the engine can't be reached or has no map. */
    suspend fun readActiveMapOrNull(): ActiveEngineMap? {
        val json = getOrNull("/v1/map/content") ?: return null
        val flat = FlatCopies(
            json.getJsonArray("placement").map { Rank((it as Number).toInt()) },
            integers(json.getJsonArray("copies")),
            integers(json.getJsonArray("weights")),
        )
        val map = GroupMap.fromFlatOrNull(flat) ?: return null
        val digest = Digest.parse(json.getString("digest"))
        return ActiveEngineMap(digest, map, json.getInteger("layers"), json.getInteger("slots"))
    }

    private fun integers(array: JsonArray): List<Int> = array.map { (it as Number).toInt() }

    /** Reads the tokens of each expert in the engine's last report, or returns null on failure. */
    suspend fun readPopularityOrNull(): List<Double>? =
        getOrNull("/v1/popularity")?.getJsonArray("tokens")
            ?.map { (it as Number).toDouble() }

    /**
     * Sends [command] and returns false if the connection fails. A command that the engine rejects
     * counts as sent.
     */
    suspend fun send(command: EngineCommand): Boolean {
        val body = JsonObject().put("term", command.term.value)
        val operation = when (command) {
            is EngineCommand.Fence -> "fence"

            is EngineCommand.Preload -> {
                body.put("digest", command.digest.text)
                val flat = command.map.flat
                body.put("placement", JsonArray(flat.placement.map { it.value }))
                body.put("copies", JsonArray(flat.copies)).put("weights", JsonArray(flat.weights))
                "preload"
            }

            is EngineCommand.Hold -> "hold".also { body.put("map", jsonOf(command.map)) }

            is EngineCommand.Activate -> "activate".also { body.put("map", jsonOf(command.map)) }

            is EngineCommand.Release -> "release".also { body.put("map", jsonOf(command.map)) }
        }
        return runCatchingIo {
            client.postAbs("$engineUrl/v1/map/$operation").sendJsonObject(body).coAwait()
        } != null
    }

    private suspend fun getOrNull(path: String): JsonObject? = runCatchingIo {
        client.getAbs(engineUrl + path).timeout(READ_TIMEOUT_MILLISECONDS).send().coAwait()
    }?.takeIf { it.statusCode() == HTTP_OK }?.bodyAsJsonObject()

    private fun jsonOf(armed: ArmedMap) = JsonObject()
        .put("term", armed.term.value)
        .put("digest", armed.digest.text)
        .put("switchStep", armed.switchStep.value)

    private fun statusOf(json: JsonObject): EngineStatus {
        val held = json.getJsonObject("held")?.let {
            ArmedMap(
                Term(it.getLong("term")),
                Digest.parse(it.getString("digest")),
                Step(it.getLong("switchStep")),
            )
        }
        val readBack = EngineReadBack(
            Digest.parse(json.getString("digest")),
            Step(json.getLong("step")),
            held,
            json.getBoolean("activated", false),
            json.getLong("term")?.let { Term(it) },
        )
        return EngineStatus(
            readBack,
            json.getLong("stepMicroseconds"),
            json.getBoolean("holding", false),
        )
    }

    private companion object {
        const val HTTP_OK = 200
        const val READ_TIMEOUT_MILLISECONDS = 1_000L

        /** One for commands and read-backs in sequence, the others for preloads and reports. */
        const val MAX_CONNECTIONS = 4
    }
}
