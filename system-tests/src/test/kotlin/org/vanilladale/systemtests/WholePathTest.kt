package org.vanilladale.systemtests

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Guards against a break anywhere between a caller and a target in the shipped programs. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {
    private val fleet = Fleet()

    @BeforeAll
    fun start() {
        val routes = """[
            {"name": "draft", "kind": "draft", "pool": "drafting", "idempotent": true,
             "deadlineMilliseconds": 10000},
            {"name": "stock", "kind": "stock", "pool": "orders", "idempotent": true,
             "path": "/stock", "deadlineMilliseconds": 2000}
        ]"""
        val pools = """[
            {"name": "drafting", "type": "model", "model": "drafts", "targets": [
              {"target": "drafting-0", "agentAddress": "${fleet.address("agent-drafting-0")}",
               "dataCentre": "lodz-1"}]},
            {"name": "orders", "type": "service", "targets": [
              {"target": "orders-0", "agentAddress": "${fleet.address("agent-orders-0")}",
               "dataCentre": "lodz-1"}]}
        ]"""
        fleet.startConfiguration(routes, pools)
        fleet.startEngine("drafting-0", "--tokens=16", "--step-milliseconds=5")
        fleet.startService("orders-0")
        fleet.startEntry("entry-0")
        fleet.await("the first draft") {
            fleet.send("entry-0", "draft", "warm-up", "warm-up").statusCode() == 200
        }
        fleet.await("the first stock look-up") {
            fleet.send("entry-0", "stock", "warm-up", "warm-up").statusCode() == 200
        }
    }

    @AfterAll
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a streamed draft arrives whole and in order`() {
        val prompt = "Szkic notatki: podwiązka z haftem"
        val answer = fleet.send("entry-0", "draft", "draft-1", prompt)
        expectThat(AnswerText.fromLines(answer.body()))
            .isEqualTo(AnswerText.ofWhole(AnswerTokens.answer(prompt.toByteArray(), 16)))
    }

    @Test
    fun `a plain service answers through its agent`() {
        val answer = fleet.send("entry-0", "stock", "stock-1", """{"bin": "brass-cup-pull"}""")
        expectThat(answer.body()).contains("workspace-1/stock-1")
    }

    /** Guards against a service answer that is lost between two threads of the agent. */
    @Test
    fun `each of many look-ups is answered`() {
        val statuses = (1..400).map { fleet.send("entry-0", "stock", "many-$it", "").statusCode() }
        expectThat(statuses.groupingBy { it }.eachCount()).isEqualTo(mapOf(200 to 400))
    }

    @Test
    fun `an unknown kind is refused with reason and run state`() {
        val answer = fleet.send("entry-0", "unknown", "unknown-1", "")
        expectThat(answer.statusCode()).isEqualTo(404)
        expectThat(answer.body()).contains("\"reason\":\"no-route\",\"run\":\"no\"")
    }

    @Test
    fun `a repeated header is refused by its name`() {
        val header = "vanilladale-kind"
        val answer = fleet.send("entry-0", "draft", "twice-1", "", header, "stock")
        expectThat(answer.statusCode()).isEqualTo(400)
        expectThat(answer.body()).contains("header $header stands 2 times")
    }
}
