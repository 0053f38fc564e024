package org.vanilladale.systemtests

import io.vertx.core.json.JsonObject
import java.util.concurrent.CompletableFuture
import org.vanilladale.standins.AnswerTokens
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Groups of four ranks with an agent each, one entry, and checks of their steps and streams. */
class RankGroupFleet(
    private val ignoreFencing: Boolean,
    groups: List<String>,
    private val driftMilliseconds: Long = 400,
) : AutoCloseable {
    val fleet = Fleet()
    val tokens = 60
    private var keys = 0

    init {
        val routes = """[{"name": "draft", "kind": "draft", "pool": "drafting",
            "idempotent": true, "deadlineMilliseconds": 18000, "retryBudgetPercent": 100}]"""
        val targets = groups.flatMap { group -> ranks.map { group to it } }
            .joinToString { (group, rank) ->
                """{"target": "$group-$rank", "dataCentre": "lodz-1",
                    "agentAddress": "${fleet.address("agent-$group-$rank")}",
                    "group": "$group", "rank": $rank}"""
            }
        val pools = """[{"name": "drafting", "type": "model", "model": "drafts",
            "checksFencing": ${!ignoreFencing}, "skewWeight": 0.9, "targets": [$targets]}]"""
        fleet.startConfiguration(routes, pools)
        groups.forEach { startGroup(it) }
        fleet.startEntry("entry-0", fields = """"heartbeatMilliseconds": 300""")
        fleet.await("the first draft") { draft("warm-up").statusCode() == 200 }
    }

    private fun startGroup(group: String) {
        val ports = ranks.joinToString(",") { fleet.port("rank-$group-$it").toString() }
        val options = listOf(
            "--ports=$ports",
            "--tokens=$tokens",
            "--drift-milliseconds=$driftMilliseconds",
            "--step-milliseconds=10",
        ) + if (ignoreFencing) listOf("--ignore-fencing") else emptyList()
        fleet.start("group-$group", "stand-ins", "rank-group", *options.toTypedArray())
        ranks.forEach { startAgent(group, it) }
    }

    /** Starts the agent of a rank with empty memory. */
    fun startAgent(group: String, rank: Int) {
        fleet.startAgent("$group-$rank", "model", "rank-$group-$rank", AGENT_FIELDS)
    }

    fun agent(group: String, rank: Int): ProgramProcess =
        fleet.processes.getValue("agent-$group-$rank")

    fun control(group: String, rank: Int, body: String) {
        fleet.put("http://${fleet.address("rank-$group-$rank")}/control", body)
    }

    fun readBack(group: String, rank: Int): JsonObject =
        JsonObject(fleet.get("http://${fleet.address("rank-$group-$rank")}/v1/map").body())

    /** Streams that the engine of a rank has started. */
    fun streams(group: String, rank: Int): Int = JsonObject(
        fleet.get("http://${fleet.address("rank-$group-$rank")}/control/streams").body(),
    ).getInteger("started")

    fun record(group: String): JsonObject = JsonObject(
        fleet.get("http://${fleet.address("rank-$group-0")}/control/steps").body(),
    )

    /** Number of map switches that the group has executed. */
    fun switches(group: String): Int = runs(group).zipWithNext().count { (left, right) ->
        left.getJsonArray("digests") != right.getJsonArray("digests")
    }

    /** Waits until the group has executed [count] more switches. */
    fun awaitSwitches(group: String, count: Int) {
        val goal = switches(group) + count
        fleet.await("switch $goal of $group") { switches(group) >= goal }
    }

    /** Returns the sum of the state value [name] over the agents of [group]. */
    fun state(group: String, name: String): Double = ranks.sumOf { rank ->
        val address = fleet.address("agent-operator-$group-$rank")
        val text = fleet.get("http://$address/metrics", "authorization", "Bearer token").body()
        val value = Regex("vanilladale_state\\{name=\"$name\"} (\\S+)").find(text)
        value?.groupValues?.get(1)?.toDouble() ?: 0.0
    }

    /** Waits until the group runs a map with several copies of an expert. */
    fun awaitReplicas(group: String) {
        val url = "http://${fleet.address("rank-$group-0")}/v1/map/content"
        fleet.await("an expert with several copies") {
            JsonObject(fleet.get(url).body()).getJsonArray("copies").any { it != 1 }
        }
    }

    /** Waits until a rank of [group] holds a map that the group has not switched to. */
    fun awaitArmed(group: String) {
        fleet.await("an armed map") { ranks.any { readBack(group, it).containsKey("held") } }
    }

    /** Fails when two ranks used different maps, by digest or by content, in one step. */
    fun expectOneDigestInEachStep(group: String) {
        val record = record(group)
        val broken = runs(group).filter { it.getJsonArray("digests").toSet().size > 1 }
        println(
            "group $group: steps ${runs(group).last().getLong("last") + 1}, switches " +
                "${switches(group)}, held steps ${record.getLong("heldSteps")}, held ms " +
                "${record.getLong("heldMilliseconds")}, broken runs ${broken.size}",
        )
        expectThat(runs(group).size).isGreaterThan(0)
        expectThat(broken).isEmpty()
    }

    private fun runs(group: String): List<JsonObject> =
        record(group).getJsonArray("runs").map { it as JsonObject }

    fun draft(prompt: String) = fleet.send("entry-0", "draft", "key-${keys++}-$prompt", prompt)

    /** Starts [count] streams; join the result to check that each answer is whole. */
    fun startStreams(count: Int): List<CompletableFuture<Unit>> = (1..count).map { number ->
        val prompt = "prompt $number"
        val key = "stream-${keys++}"
        CompletableFuture.supplyAsync<Unit> {
            val body = fleet.send("entry-0", "draft", key, prompt).body()
            expectThat(AnswerText.fromLines(body)).describedAs(body.lines().takeLast(2).toString())
                .isEqualTo(AnswerText.ofWhole(AnswerTokens.answer(prompt.toByteArray(), tokens)))
        }
    }

    /** Runs [block] while streams come and go, and checks that every answer is whole. */
    fun withStreams(block: () -> Unit) {
        val running = CompletableFuture.runAsync { block() }
        var answers = 0
        do {
            val streams = startStreams(STREAMS)
            streams.forEach { it.join() }
            answers += streams.size
        } while (!running.isDone)
        running.join()
        println("streams: $answers whole answers")
    }

    override fun close() {
        fleet.close()
    }

    companion object {
        val ranks = 0..3
        const val LEASE_MILLISECONDS = 1_000L
        private const val STREAMS = 6
        private const val AGENT_FIELDS = """"heartbeatMilliseconds": 300,
            "silenceMilliseconds": 1500, "longestLeaseMilliseconds": 1500,
            "rankLeaseMilliseconds": $LEASE_MILLISECONDS, "planMilliseconds": 300,
            "planCoolDownMilliseconds": 400, "movePeriodMilliseconds": 2000,
            "popularityMilliseconds": 400, "stepDeadlineMilliseconds": 600"""
    }
}
