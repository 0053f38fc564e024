package org.vanilladale.systemtests

import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against a request that crashes one target after the other, and takes others with it. */
class CrashingRequestTest {
    private val fleet = Fleet()
    private val tokens = 60
    private val targets = (0..3).map { "drafting-$it" }

    @BeforeEach
    fun start() {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 15000, "retryBudgetPercent": 100}]"""
        val places = targets.joinToString {
            """{"target": "$it", "agentAddress": "${fleet.address("agent-$it")}",
                "dataCentre": "lodz-1"}"""
        }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "targets": [$places]}]"""
        fleet.startConfiguration(routes, pools)
        targets.forEach {
            fleet.startEngine(it, "--tokens=$tokens", "--step-milliseconds=15")
        }
        listOf("entry-0", "entry-1").forEach { entry ->
            fleet.startEntry(entry)
            fleet.await("$entry uses all targets") {
                (1..12).map {
                    val answer = fleet.send(entry, "draft", "warm-up-$it", "warm-up $it")
                    answer.headers().firstValue("vanilladale-resume-target").orElse("")
                }.toSet().size == targets.size
            }
        }
        targets.forEach {
            val control = "http://${fleet.address("engine-$it")}/control"
            fleet.put(control, """{"crashOn": "deadly"}""")
        }
    }

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a request that crashes its targets costs at most two and is refused everywhere`() {
        val neighbours = (1..4).associate { number ->
            val prompt = "neighbour $number"
            prompt to CompletableFuture.supplyAsync {
                fleet.send("entry-${number % 2}", "draft", "neighbour-$number", prompt).body()
            }
        }
        Thread.sleep(200)
        val startedAt = System.nanoTime()
        val convicted = mutableMapOf<String, Long>()
        var sent = 0
        while (convicted.size < 2 && sent < 20) {
            listOf("entry-0", "entry-1").map { entry ->
                sent++
                CompletableFuture.supplyAsync {
                    entry to fleet.send(entry, "draft", "key-$entry", "a deadly prompt").body()
                }
            }.map { it.join() }.forEach { (entry, body) ->
                if ("suspect-convicted" in body) {
                    convicted.getOrPut(entry) { (System.nanoTime() - startedAt) / 1_000_000 }
                }
            }
        }
        val lost = targets.count { !fleet.processes.getValue("engine-$it").alive }
        val whole = neighbours.count { (prompt, answer) ->
            val expected = AnswerText.ofWhole(AnswerTokens.answer(prompt.toByteArray(), tokens))
            runCatching { AnswerText.fromLines(answer.join()) }.getOrNull() == expected
        }
        println(
            "crash: $lost of ${targets.size} engines lost, $sent copies sent, refused after " +
                "$convicted ms, $whole of ${neighbours.size} neighbours whole",
        )
        if (lost > 2) println(fleet.lastLogLines())
        expectThat(lost).isGreaterThan(0).isLessThan(3)
        expectThat(convicted.keys.toSet()).isEqualTo(setOf("entry-0", "entry-1"))
        expectThat(convicted.values.max()).isLessThan(10_000)
        expectThat(whole).isEqualTo(neighbours.size)
    }
}
