package org.vanilladale.systemtests

import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a stream whose silent target is given up for one that refuses the stream. */
class RefusedReplacementTest {
    private val fleet = Fleet()

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a stream goes on after a pause when the other target refuses it`() {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 15000, "retryBudgetPercent": 100}]"""
        val names = listOf("drafting-0", "drafting-1")
        val targets = names.joinToString { name ->
            """{"target": "$name", "agentAddress": "${fleet.address("agent-$name")}",
                "dataCentre": "lodz-1"}"""
        }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "targets": [$targets]}]"""
        fleet.startConfiguration(routes, pools)
        names.forEach { name ->
            val port = "--port=${fleet.port("engine-$name")}"
            val options = arrayOf("--tokens=$TOKENS", "--step-milliseconds=25")
            fleet.start("engine-$name", "stand-ins", "engine", port, *options)
            fleet.startAgent(name, "model", "engine-$name", """"slots": 1, "queue": 1""")
        }
        fleet.startEntry("entry-0", fields = """"progressMilliseconds": 500""")
        fleet.await("links to both agents") {
            names.all { name ->
                fleet.statusOrNull("agent-operator-$name")?.getJsonArray("entries")?.size() == 1
            }
        }
        fleet.await("the first draft") { draft("warm-up", names[0]).statusCode() == 200 }
        val answer = CompletableFuture.supplyAsync { draft("paused", names[0]).body() }
        // One draft runs and one waits, so that the target takes no other.
        val others = (1..2).map { number ->
            CompletableFuture.supplyAsync { draft("other-$number", names[1]) }
        }
        Thread.sleep(400)
        val engine = fleet.processes.getValue("engine-drafting-0")
        engine.pause()
        Thread.sleep(1_500)
        engine.resume()
        val body = answer.join()
        expectThat(AnswerText.fromLines(body))
            .describedAs(body.lines().takeLast(2).toString())
            .isEqualTo(AnswerText.ofWhole(AnswerTokens.answer("paused".toByteArray(), TOKENS)))
        others.forEach { expectThat(it.join().statusCode()).isEqualTo(200) }
    }

    private fun draft(key: String, target: String) =
        fleet.send("entry-0", "draft", key, key, "vanilladale-resume-target", target)

    private companion object {
        const val TOKENS = 150
    }
}
