package org.vanilladale.systemtests

import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against lost or damaged answers when an agent or engine dies, pauses or is stopped. */
class FailoverTest {
    private val fleet = Fleet()
    private val tokens = 100

    @BeforeEach
    fun start() {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 15000}]"""
        val targets = listOf(0, 1).joinToString {
            """{"target": "drafting-$it", "agentAddress": "${fleet.address("agent-drafting-$it")}",
                "dataCentre": "lodz-$it"}"""
        }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "targets": [$targets]}]"""
        fleet.startConfiguration(routes, pools)
        listOf(0, 1).forEach {
            fleet.startEngine("drafting-$it", "--tokens=$tokens", "--step-milliseconds=15")
        }
        fleet.startEntry("entry-0")
        fleet.await("connections to both agents") {
            fleet.send("entry-0", "draft", "warm-up", "warm-up", "vanilladale-offset", "0")
                .statusCode() == 200
        }
    }

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a stream continues on another target when its agent is killed`() {
        expectWholeAnswersWhile { fleet.processes.getValue(it).kill() }
    }

    @Test
    fun `a stream continues on another target when its agent is paused`() {
        expectWholeAnswersWhile { fleet.processes.getValue(it).pause() }
    }

    @Test
    fun `a stream continues on another target when its engine is killed`() {
        expectWholeAnswersWhile { agent ->
            fleet.processes.getValue(agent.replace("agent", "engine")).kill()
        }
    }

    @Test
    fun `a graceful shutdown of an agent cuts off no stream and ends with exit code 0`() {
        expectWholeAnswersWhile { fleet.processes.getValue(it).terminate() }
        val stopped = fleet.processes.getValue("agent-drafting-0")
        expectThat(stopped.exitCodeOrNull(10)).isNotNull().isEqualTo(0)
        expectThat(retries()).contains("vanilladale_retries_total{reason=\"connection-lost\"} 0.0")
    }

    @Test
    fun `a graceful shutdown of the entry cuts off no stream and refuses new requests`() {
        val answers = startStreams()
        Thread.sleep(400)
        val entry = fleet.processes.getValue("entry-0")
        entry.terminate()
        answers.forEach { (prompt, answer) -> expectWhole(prompt, answer.join()) }
        expectThat(entry.exitCodeOrNull(10)).isNotNull().isEqualTo(0)
    }

    private fun expectWholeAnswersWhile(fault: (agent: String) -> Unit) {
        val answers = startStreams()
        Thread.sleep(400)
        fault("agent-drafting-0")
        answers.forEach { (prompt, answer) -> expectWhole(prompt, answer.join()) }
    }

    private fun startStreams(): Map<String, CompletableFuture<String>> =
        (1..6).associate { number ->
            val prompt = "prompt $number"
            prompt to CompletableFuture.supplyAsync {
                fleet.send("entry-0", "draft", "key-$number", prompt).body()
            }
        }

    private fun expectWhole(prompt: String, body: String) {
        expectThat(AnswerText.fromLines(body))
            .isEqualTo(AnswerText.ofWhole(AnswerTokens.answer(prompt.toByteArray(), tokens)))
    }

    private fun retries(): String = fleet.get(
        "http://${fleet.address("operator-entry-0")}/metrics",
        "authorization",
        "Bearer token",
    ).body()
}
