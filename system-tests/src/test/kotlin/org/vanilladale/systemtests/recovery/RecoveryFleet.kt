package org.vanilladale.systemtests.recovery

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.io.IOException
import org.vanilladale.systemtests.Fleet
import org.vanilladale.systemtests.ProgramProcess

/** One target of the fleet: an agent beside its engine or service. */
data class FleetTarget(val name: String, val pool: String, val dataCentre: String) {
    val isModel: Boolean get() = pool == "drafting"
    val agent: String get() = "agent-$name"
    val platform: String get() = if (isModel) "engine-$name" else "service-$name"
}

/**
 * Entries in three data centres with plain services and model engines in some of them. The agent of
 * a target and an entry can be replaced on a new address.
 *
 * @param entriesEach entries in each data centre
 * @param targetsIn data centres with one service and one engine
 * @param entryFields further settings of the entries
 */
class RecoveryFleet(
    private val entriesEach: Int,
    private val tokens: Int,
    targetsIn: Int = 3,
    private val entryFields: String = "",
) : AutoCloseable {
    val fleet = Fleet()
    val dataCentres = listOf("lodz-0", "lodz-1", "lodz-2")
    val targets = dataCentres.take(targetsIn).flatMap { dataCentre ->
        val number = dataCentre.last()
        listOf(
            FleetTarget("orders-$number", "orders", dataCentre),
            FleetTarget("drafting-$number", "drafting", dataCentre),
        )
    }

    /** Current process name of each entry VM. */
    val entries = linkedMapOf<String, String>()
    private val dataCentreOf = HashMap<String, String>()
    private var generation = 0

    private val routes = """[
        {"name": "stock", "kind": "stock", "pool": "orders", "idempotent": true,
         "path": "/stock", "deadlineMilliseconds": 5000},
        {"name": "order", "kind": "order", "pool": "orders", "idempotent": false,
         "path": "/orders", "deadlineMilliseconds": 5000},
        {"name": "draft", "kind": "draft", "pool": "drafting", "idempotent": true,
         "deadlineMilliseconds": 30000}
    ]"""

    fun start() {
        dataCentres.forEach { dataCentre ->
            repeat(entriesEach) { dataCentreOf["entry-${dataCentre.last()}-$it"] = dataCentre }
        }
        dataCentreOf.keys.sorted().forEach { entries[it] = it }
        fleet.startConfiguration(routes, pools())
        targets.forEach(::startTarget)
        entries.keys.toList().forEach { startEntry(it, it) }
        awaitReady()
        fleet.await("all entries listed") { entries.values.all { listed(it) == allAddresses() } }
    }

    /** Starts the stand-in and the agent of [target]. */
    fun startTarget(target: FleetTarget) {
        if (target.isModel) {
            val options = arrayOf("--tokens=$tokens", "--step-milliseconds=$STEP_MILLISECONDS")
            fleet.startEngine(target.name, *options, dataCentre = target.dataCentre)
        } else {
            val record = "--record=${fleet.directory.resolve("${target.name}.executions")}"
            fleet.startService(target.name, target.dataCentre, record)
        }
    }

    fun startAgent(target: FleetTarget) {
        val type = if (target.isModel) "model" else "service"
        fleet.startAgent(target.name, type, target.platform, dataCentre = target.dataCentre)
    }

    /** Starts a process called [name] for the entry VM [vm]; it knows the running entries. */
    fun startEntry(vm: String, name: String) {
        val others = entries.filterKeys { it != vm }.values
        val peers = others.joinToString { "\"${fleet.address("peer-$it")}\"" }
        fleet.startEntry(
            name,
            dataCentreOf.getValue(vm),
            """"peers": [$peers], "vm": "$vm"$entryFields""",
        )
        entries[vm] = name
    }

    /** Starts the next process of [vm] on ports of its own. */
    fun startSuccessor(vm: String) {
        startEntry(vm, "$vm-${++generation}")
    }

    fun process(name: String): ProgramProcess = fleet.processes.getValue(name)

    /** Publishes the tables with the current addresses of the agents. */
    fun publish(): Long {
        val body = JsonObject().put("routes", routes).put("pools", pools())
        val service = "http://${fleet.address("configuration-service")}"
        return JsonObject(fleet.put("$service/control", body.encode()).body()).getLong("revision")
    }

    /** Makes each call of the plain services take [milliseconds]. */
    fun setServiceDelay(milliseconds: Long) {
        targets.filter { !it.isModel }.forEach {
            val control = "http://${fleet.address(it.platform)}/control"
            fleet.put(control, """{"delayMilliseconds": $milliseconds}""")
        }
    }

    fun setServiceMode(mode: String) {
        val service = "http://${fleet.address("configuration-service")}"
        fleet.put("$service/control/mode", """{"mode": "$mode"}""")
    }

    /** Waits until each entry reports that each target takes work. */
    fun awaitReady() {
        fleet.await("all targets ready at all entries") { entries.values.all(::isReady) }
    }

    /** Returns true when [entry] is connected to all targets and may use them. */
    fun isReady(entry: String): Boolean {
        val report = fleet.statusOrNull("operator-$entry") ?: return false
        val states = report.getJsonArray("pools").map { it as JsonObject }
            .flatMap { pool -> pool.getJsonArray("targets").map { it as JsonObject } }
        return states.size == targets.size &&
            states.all { it.getBoolean("connected") && it.getString("state") in TAKING_WORK }
    }

    private val operators: List<String>
        get() = entries.values.map { "operator-$it" } + targets.map { "agent-operator-${it.name}" }

    /** Revisions in force at all processes. */
    fun revisions(): Map<String, Long?> =
        operators.associateWith { fleet.statusOrNull(it)?.getLong("revision") }

    /** Returns true when all entries and agents answer their operators. */
    fun areRunning(): Boolean = operators.all { fleet.statusOrNull(it) != null }

    fun addresses(): List<String> = entries.values.map { fleet.address("caller-$it") }

    /** Ends all processes of [dataCentre] with SIGKILL at one moment. */
    fun killDataCentre(dataCentre: String) {
        val victims = namesIn(dataCentre).map(::process)
        victims.forEach { it.killAtOnce() }
        victims.forEach { it.exitCodeOrNull(EXIT_SECONDS) }
    }

    /** Starts all processes of [dataCentre] again at their addresses with empty memory. */
    fun restartDataCentre(dataCentre: String) {
        targets.filter { it.dataCentre == dataCentre }.forEach(::startTarget)
        entriesIn(dataCentre).forEach { (vm, name) -> startEntry(vm, name) }
    }

    fun entriesIn(dataCentre: String): Map<String, String> =
        entries.filterKeys { dataCentreOf[it] == dataCentre }

    private fun namesIn(dataCentre: String): List<String> = entriesIn(dataCentre).values +
        targets.filter { it.dataCentre == dataCentre }.flatMap { listOf(it.agent, it.platform) }

    /** Work that each target has got so far: executions of services, streams of engines. */
    fun work(): Map<FleetTarget, Int> = targets.associateWith { target ->
        if (target.isModel) streamsOf(target) else executionsOf(target).size
    }

    private fun streamsOf(target: FleetTarget): Int = try {
        val url = "http://${fleet.address(target.platform)}/control/streams"
        JsonObject(fleet.get(url).body()).getInteger("started")
    } catch (_: IOException) {
        0
    }

    private fun executionsOf(target: FleetTarget): List<String> =
        fleet.directory.resolve("${target.name}.executions").takeIf { it.exists() }
            ?.readLines().orEmpty()

    /** Executions of each key at all services since the start, those of killed ones included. */
    fun executions(): Map<String, Int> = targets.filter { !it.isModel }
        .flatMap(::executionsOf)
        .groupingBy { it.substringAfter('/') }.eachCount()

    private fun allAddresses() = addresses().toSet()

    /** Addresses that [entry] lists to callers. */
    fun listed(entry: String): Set<String> {
        val answer = fleet.get("http://${fleet.address("caller-$entry")}/v1/entries").body()
        return JsonObject(answer).getJsonArray("entries")
            .map { (it as JsonObject).getString("address") }.toSet()
    }

    private fun pools(): String = JsonArray(
        listOf("orders" to "service", "drafting" to "model").map { (pool, type) ->
            JsonObject().put("name", pool).put("type", type).put("model", "drafts").put(
                "targets",
                JsonArray(
                    targets.filter { it.pool == pool }.map {
                        JsonObject().put("target", it.name).put("dataCentre", it.dataCentre)
                            .put("agentAddress", fleet.address(it.agent))
                    },
                ),
            ).also { if (type == "service") it.remove("model") }
        },
    ).encode()

    override fun close() {
        fleet.close()
    }

    private companion object {
        const val STEP_MILLISECONDS = 15
        const val EXIT_SECONDS = 5L
        val TAKING_WORK = setOf("ready", "slow")
    }
}
