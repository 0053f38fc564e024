package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.Test
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Guards against lost work and unavailable targets when the tables move or drop a target. */
class MovedTargetTest {
    @Test
    fun `a target that did not answer at its first address gets work at the corrected one`() {
        Fleet().use { fleet ->
            val routes = """[{"name": "stock", "kind": "stock", "pool": "orders",
                "idempotent": true, "path": "/stock", "deadlineMilliseconds": 2000}]"""
            fleet.startConfiguration(routes, pools(fleet.address("nobody")))
            fleet.startService("orders-0")
            fleet.startEntry("entry-0")
            fleet.await("the suspicion") { targetState(fleet).startsWith("unavailable") }
            val tables = JsonObject().put("routes", routes)
                .put("pools", pools(fleet.address("agent-orders-0")))
            val service = "http://${fleet.address("configuration-service")}"
            fleet.put("$service/control", tables.encode())
            fleet.await("the connection") { targetState(fleet).startsWith("ready") }
            expectThat(fleet.send("entry-0", "stock", "key", "").statusCode()).isEqualTo(200)
        }
    }

    @Test
    fun `a stream ends on its target after the tables dropped the target`() {
        Fleet().use { fleet ->
            val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
                "idempotent": true, "deadlineMilliseconds": 30000}]"""
            fleet.startConfiguration(routes, drafting(fleet, 0))
            listOf(0, 1).forEach {
                fleet.startEngine("drafting-$it", "--tokens=850", "--step-milliseconds=20")
            }
            fleet.startEntry("entry-0")
            fleet.await("the connection") { target(fleet)?.getBoolean("connected") == true }
            val answer = CompletableFuture.supplyAsync {
                fleet.send("entry-0", "draft", "key", "prompt").body()
            }
            Thread.sleep(200)
            val tables = JsonObject().put("routes", routes).put("pools", drafting(fleet, 1))
            val service = "http://${fleet.address("configuration-service")}"
            fleet.put("$service/control", tables.encode())
            fleet.await("the change") {
                fleet.statusOrNull("operator-entry-0")?.getLong("revision") == 2L
            }
            expectThat(answer.isDone).isFalse()
            val whole = AnswerText.ofWhole(AnswerTokens.answer("prompt".toByteArray(), 850))
            expectThat(AnswerText.fromLines(answer.join())).isEqualTo(whole)
            expectThat(fleet.metric("operator-entry-0", "vanilladale_retries_total"))
                .isEqualTo(0.0)
        }
    }

    private fun drafting(fleet: Fleet, index: Int): String {
        val address = fleet.address("agent-drafting-$index")
        return """[{"name": "drafting", "type": "model", "model": "drafts", "targets": [
            {"target": "drafting-$index", "agentAddress": "$address", "dataCentre": "lodz-1"}]}]"""
    }

    private fun pools(address: String) = """[{"name": "orders", "type": "service", "targets": [
        {"target": "orders-0", "agentAddress": "$address", "dataCentre": "lodz-1"}]}]"""

    private fun targetState(fleet: Fleet): String = target(fleet)?.getString("state").orEmpty()

    private fun target(fleet: Fleet): JsonObject? =
        fleet.statusOrNull("operator-entry-0")?.getJsonArray("pools")
            ?.firstOrNull()?.let { it as JsonObject }
            ?.getJsonArray("targets")?.firstOrNull()?.let { it as JsonObject }
}
