package org.vanilladale.systemtests

import arrow.core.getOrElse
import java.util.concurrent.CompletableFuture
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Refused
import org.vanilladale.schema.RequestId
import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.Role
import org.vanilladale.schema.RunState
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Submit
import org.vanilladale.schema.VmId
import org.vanilladale.schema.WorkspaceId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Guards against new work at a leaving agent through an entry that missed the announcement. */
class LeavingAgentTest {
    private val fleet = Fleet()

    @AfterEach
    fun stop() {
        fleet.close()
    }

    @Test
    fun `a leaving agent refuses new work of an entry that was paused meanwhile`() {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 15000, "retryBudgetPercent": 100}]"""
        val targets = listOf(0, 1).joinToString {
            """{"target": "drafting-$it", "agentAddress": "${fleet.address("agent-drafting-$it")}",
                "dataCentre": "lodz-1"}"""
        }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "targets": [$targets]}]"""
        fleet.startConfiguration(routes, pools)
        listOf(0, 1).forEach {
            fleet.startEngine("drafting-$it", "--tokens=200", "--step-milliseconds=30")
        }
        listOf(0, 1).forEach {
            val peer = fleet.address("peer-entry-${1 - it}")
            fleet.startEntry("entry-$it", fields = "\"peers\": [\"$peer\"]")
        }
        fleet.await("both agents connected to both entries") {
            listOf(0, 1).all { agent ->
                fleet.statusOrNull("agent-operator-drafting-$agent")
                    ?.getJsonArray("entries")?.size() == 2
            }
        }
        val before = (1..4).map { CompletableFuture.supplyAsync { draft("entry-0", "before-$it") } }
        Thread.sleep(500)
        val paused = fleet.processes.getValue("entry-1")
        paused.pause()
        fleet.processes.getValue("agent-drafting-0").terminate()
        // The requests wait in the socket of the paused entry, next to the announcement.
        val after = (1..5).map { CompletableFuture.supplyAsync { draft("entry-1", "after-$it") } }
        Thread.sleep(2_300)
        val running = inFlight()
        paused.resume()
        Thread.sleep(1_000)
        val runningLater = inFlight()
        val answer = submitWithoutNews()
        expectThat(answer.reason).isEqualTo(RefusalReason.LEAVING.code)
        expectThat(answer.run).isEqualTo(RunState.NO)
        val refused = fleet.metric(
            "agent-operator-drafting-0",
            "vanilladale_refusals_total{reason=\"leaving\"}",
        )
        println("agent: $refused refusals while leaving, in flight $running then $runningLater")
        expectThat(running).isGreaterThan(0)
        expectThat(runningLater).isEqualTo(running)
        expectThat(refused).isGreaterThan(0.0)
        (before + after).forEach { expectThat(it.join()).isEqualTo(200) }
    }

    /** Submits like an entry that got no announcement and returns the answer of the agent. */
    private fun submitWithoutNews(): Refused = runBlocking {
        val identity = PeerIdentity(
            VmId.parse("uninformed"),
            Role.ENTRY,
            DataCentreName.parse("lodz-1"),
            Incarnation(1),
        )
        val timing = ConnectionTiming(1_000, 3_000)
        PeerNetwork(LocalIdentity(identity, "secret"), timing, ::systemNow).use { network ->
            val address = SocketAddressText.parse(fleet.address("agent-drafting-0"))
            val connection = network.dial(address).getOrElse { error(it.message) }
            val refused = CompletableDeferred<Refused>()
            val run = launch {
                connection.run({
                    Heartbeat()
                }) { if (it is Refused) refused.complete(it) }
            }
            connection.send(submit())
            withTimeout(5_000) { refused.await() }.also {
                connection.close()
                run.join()
            }
        }
    }

    private fun submit() = Submit(
        RequestId(1),
        Attempt(1),
        WorkspaceId.parse("workspace-1"),
        RequestKey.parse("uninformed"),
        RequestKind.parse("draft"),
        "/",
        idempotent = true,
        priority = 5,
        deadline = systemNow().deadlineAfter(10_000),
        offset = 0,
        body = "prompt".toByteArray(),
    )

    private fun inFlight(): Int =
        fleet.statusOrNull("agent-operator-drafting-0")?.getInteger("inFlight") ?: -1

    private fun draft(entry: String, key: String) = fleet.send(entry, "draft", key, key).let {
        if (AnswerText.fromLines(it.body()).length == null) -1 else it.statusCode()
    }
}
