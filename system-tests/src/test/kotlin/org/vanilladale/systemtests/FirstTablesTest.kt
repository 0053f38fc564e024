package org.vanilladale.systemtests

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against a small fleet that waits for copies it can't get, or that serves too early. */
class FirstTablesTest {
    @Test
    fun `one entry and one agent have the first tables in time at the default wait for peers`() {
        Fleet(peersMilliseconds = 10_000).use { fleet ->
            val routes = """[{"name": "stock", "kind": "stock", "pool": "orders",
                "idempotent": true, "path": "/stock", "deadlineMilliseconds": 2000}]"""
            val pools = """[{"name": "orders", "type": "service", "targets": [
                {"target": "orders-0", "agentAddress": "${fleet.address("agent-orders-0")}",
                 "dataCentre": "lodz-1"}]}]"""
            fleet.startConfiguration(routes, pools)
            fleet.startService("orders-0")
            fleet.startEntry("entry-0")
            val operators = listOf("operator-entry-0", "agent-operator-orders-0")
            fleet.await("both processes") { operators.all { fleet.statusOrNull(it) != null } }
            val upAt = System.nanoTime()
            val early = fleet.send("entry-0", "stock", "early", "")
            expectThat(early.statusCode()).isEqualTo(503)
            expectThat(early.body()).contains("\"reason\":\"no-configuration\",\"run\":\"no\"")
            fleet.await("the first revision") {
                operators.all { fleet.statusOrNull(it)?.getLong("revision") == 1L }
            }
            val seconds = (System.nanoTime() - upAt) / 1e9
            println("configuration: first tables at one entry and one agent after $seconds s")
            expectThat(seconds).isLessThan(12.5)
        }
    }
}
