package org.vanilladale.systemtests

import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.standins.Engine
import org.vanilladale.standins.ModelLoads
import org.vanilladale.standins.WeightStore
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against stand-ins that are kinder to agents than the platform they stand for. */
class EngineLoadCommandsTest {
    private val vertx = Vertx.vertx()
    private val client = HttpClient.newHttpClient()
    private val store = WeightStore(
        vertx,
        WeightStore.Settings(2, 60_000, 10),
    ).start(0).actualPort()

    private fun engine(keepsFencing: Boolean): Int {
        val settings = Engine.Settings(4, 10, 8, 1, 4, 100) {}
        val loads = ModelLoads.Settings("http://127.0.0.1:$store", 10, keepsFencing)
        return Engine(vertx, settings, loads).start(0).actualPort()
    }

    private fun send(port: Int, path: String, method: String, body: String) = client.send(
        HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    private fun load(port: Int, fence: Int, version: String): HttpResponse<String> {
        val body = JsonObject().put("fence", fence).put("name", "drafts").put("version", version)
        return send(port, "/v1/models/load-model", "POST", body.encode())
    }

    private fun version(port: Int): String? =
        JsonObject(send(port, "/v1/models", "GET", "").body()).getString("version")

    @AfterEach
    fun stop() {
        vertx.close()
    }

    @Test
    fun `an old fencing number is refused or obeyed as the setting says`() {
        for ((keeps, expected) in listOf(true to "v2", false to "v1")) {
            send(store, "/control", "PUT", """{"reads": 10}""")
            val port = engine(keeps)
            expectThat(send(port, "/v1/generate", "POST", "{}").statusCode()).isEqualTo(503)
            expectThat(load(port, fence = 2, version = "v2").statusCode()).isEqualTo(204)
            expectThat(load(port, fence = 1, version = "v1").statusCode())
                .isEqualTo(if (keeps) 409 else 204)
            expectThat(version(port)).isEqualTo(expected)
        }
    }

    @Test
    fun `a refused or missing read leaves the old version and tells why`() {
        val port = engine(keepsFencing = true)
        load(port, fence = 1, version = "v1")
        send(store, "/control", "PUT", """{"missing": ["drafts/v2"]}""")
        val missing = JsonObject(load(port, fence = 2, version = "v2").body())
        expectThat(missing.getString("reason")).isEqualTo("version-missing")
        load(port, fence = 3, version = "v3")
        val limited = JsonObject(load(port, fence = 4, version = "v4").body())
        expectThat(limited.getString("reason")).isEqualTo("weight-store-limit")
        expectThat(limited.getLong("retryAt")).isGreaterThan(System.currentTimeMillis())
        expectThat(version(port)).isEqualTo("v3")
        val counts = JsonObject(send(store, "/control/reads", "GET", "").body())
        expectThat(counts.getInteger("reads")).isEqualTo(2)
        expectThat(counts.getInteger("refused")).isEqualTo(1)
    }
}
