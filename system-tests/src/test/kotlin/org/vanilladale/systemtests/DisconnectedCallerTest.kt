package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains

/** Guards against work for a caller that went away: it would hold a slot of the engine. */
class DisconnectedCallerTest {
    private val fleet = Fleet()

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `the engine stops the request of a caller that disconnects`() {
        fleet.startConfiguration(
            """[{"name": "draft", "kind": "draft", "pool": "drafting", "idempotent": true,
                "deadlineMilliseconds": 60000}]""",
            """[{"name": "drafting", "type": "model", "model": "drafts", "targets": [
                {"target": "drafting-0", "agentAddress": "${fleet.address("agent-drafting-0")}",
                 "dataCentre": "lodz-1"}]}]""",
        )
        fleet.startEngine("drafting-0", "--tokens=2", "--load-lag-milliseconds=50")
        fleet.startEntry("entry-0")
        fleet.await("the first draft") {
            fleet.send("entry-0", "draft", "warm-up", "warm-up").statusCode() == 200
        }
        val engine = "http://${fleet.address("engine-drafting-0")}"
        fleet.put("$engine/control", """{"tokens": 5000}""")
        Socket("127.0.0.1", fleet.port("caller-entry-0")).use { socket ->
            val head = "POST /v1/requests HTTP/1.1\r\nhost: entry\r\nvanilladale-workspace: w\r\n" +
                "vanilladale-kind: draft\r\nvanilladale-request-key: k\r\ncontent-length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val lines = socket.getInputStream().bufferedReader()
            expectThat(generateSequence { lines.readLine() }.first { "offset" in it })
                .contains("\"offset\":0")
            fleet.await("a running request") { running(engine) == 1 }
        }
        fleet.await("the end of the request") { running(engine) == 0 }
    }

    private fun running(engine: String): Int =
        JsonObject(fleet.get("$engine/v1/load").body()).getInteger("running")
}
