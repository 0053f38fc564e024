package org.vanilladale.systemtests

import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Guards against answers that end because of a silent target while no other one may be tried. */
class SilentAttemptTest {
    private val fleet = Fleet()

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a stream goes on after a pause of the only target`() {
        startDrafting(1)
        expectWholeStreamAcrossPause(1)
    }

    @Test
    fun `a stream goes on after a pause when the retry budget is empty`() {
        startDrafting(2, retryBudgetPercent = 0)
        expectWholeStreamAcrossPause(2)
    }

    @Test
    fun `a stream goes on after a pause when all targets were tried`() {
        startDrafting(2, retryBudgetPercent = 100)
        expectWholeStreamAcrossPause(2)
    }

    @Test
    fun `a request waits for a slot of the only target until its deadline`() {
        startDrafting(1, agentFields = """"slots": 1""")
        val running = CompletableFuture.supplyAsync { draft("running") }
        Thread.sleep(RUNNING_MILLISECONDS)
        val waiting = CompletableFuture.supplyAsync { draft("waiting") }
        expectWhole("running", running.join())
        expectWhole("waiting", waiting.join())
    }

    @Test
    fun `a look-up waits for a paused target`() {
        startStock(hedgeBudgetPercent = 0)
        expectLookUpAcrossPause()
    }

    @Test
    fun `a hedged look-up waits for a paused target`() {
        startStock(hedgeBudgetPercent = 100)
        expectLookUpAcrossPause()
    }

    private fun startDrafting(
        targets: Int,
        retryBudgetPercent: Int = 10,
        agentFields: String = "",
    ) {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 15000,
            "retryBudgetPercent": $retryBudgetPercent}]"""
        val names = (0 until targets).map { "drafting-$it" }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "targets": [${names.joinToString(transform = ::poolTarget)}]}]"""
        fleet.startConfiguration(routes, pools)
        names.forEach { name ->
            val port = "--port=${fleet.port("engine-$name")}"
            val options = arrayOf("--tokens=$TOKENS", "--step-milliseconds=20")
            fleet.start("engine-$name", "stand-ins", "engine", port, *options)
            fleet.startAgent(name, "model", "engine-$name", agentFields)
        }
        startEntry()
        fleet.await("the first draft") { draft("warm-up").statusCode() == 200 }
        fleet.await("links to all agents") {
            names.all { name ->
                fleet.statusOrNull("agent-operator-$name")?.getJsonArray("entries")?.size() == 1
            }
        }
    }

    private fun startStock(hedgeBudgetPercent: Int) {
        val routes = """[{"name": "stock", "kind": "stock", "pool": "orders", "idempotent": true,
            "path": "/stock", "deadlineMilliseconds": 8000,
            "hedgeBudgetPercent": $hedgeBudgetPercent}]"""
        val pools = """[{"name": "orders", "type": "service",
            "targets": [${poolTarget("orders-0")}]}]"""
        fleet.startConfiguration(routes, pools)
        fleet.startService("orders-0")
        startEntry()
        fleet.await("the first look-up") { lookUp("warm-up").statusCode() == 200 }
    }

    private fun startEntry() {
        fleet.startEntry(
            "entry-0",
            fields = """"firstAnswerMilliseconds": 1000, "progressMilliseconds": 500""",
        )
    }

    private fun poolTarget(name: String) =
        """{"target": "$name", "agentAddress": "${fleet.address("agent-$name")}",
            "dataCentre": "lodz-1"}"""

    private fun expectWholeStreamAcrossPause(targets: Int) {
        val answer = CompletableFuture.supplyAsync { draft("paused") }
        Thread.sleep(RUNNING_MILLISECONDS)
        acrossPause((0 until targets).map { "engine-drafting-$it" })
        expectWhole("paused", answer.join())
    }

    private fun expectLookUpAcrossPause() {
        val pause = CompletableFuture.runAsync { acrossPause(listOf("service-orders-0")) }
        Thread.sleep(RUNNING_MILLISECONDS)
        val answer = lookUp("paused")
        pause.join()
        expectThat(answer.body()).contains("workspace-1/paused")
        expectThat(answer.statusCode()).isEqualTo(200)
    }

    private fun acrossPause(names: List<String>) {
        val processes = names.map(fleet.processes::getValue)
        processes.forEach { it.pause() }
        Thread.sleep(PAUSE_MILLISECONDS)
        processes.forEach { it.resume() }
    }

    private fun draft(key: String) = fleet.send("entry-0", "draft", key, key)

    private fun lookUp(key: String) = fleet.send("entry-0", "stock", key, "")

    private fun expectWhole(prompt: String, answer: HttpResponse<String>) {
        expectThat(AnswerText.fromLines(answer.body()))
            .describedAs(answer.body().lines().takeLast(2).toString())
            .isEqualTo(AnswerText.ofWhole(AnswerTokens.answer(prompt.toByteArray(), TOKENS)))
    }

    private companion object {
        const val TOKENS = 150
        const val RUNNING_MILLISECONDS = 400L

        /** Longer than both time limits of the entry, which are set in [startEntry]. */
        const val PAUSE_MILLISECONDS = 2_500L
    }
}
