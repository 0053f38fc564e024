package org.vanilladale.systemtests

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** Three entries and two agents in three data centres that follow one configuration service. */
class SpreadFleet : AutoCloseable {
    val fleet = Fleet()
    val entries = listOf("entry-0", "entry-1", "entry-2")
    private val targets = listOf("orders-0", "orders-1")

    /** Names of the operator ports of all processes. */
    val operators = entries.map { "operator-$it" } + targets.map { "agent-operator-$it" }

    private val routes = """[{"name": "stock", "kind": "stock", "pool": "orders",
        "idempotent": true, "path": "/stock", "deadlineMilliseconds": 2000}]"""

    fun start() {
        fleet.startConfiguration(routes, pools(slots = 1))
        targets.forEachIndexed { index, target -> fleet.startService(target, "lodz-$index") }
        entries.forEach(::startEntry)
        fleet.await("the first revision at all processes") { revisions().all { it == 1L } }
    }

    /** Starts a process on ports of its own for the VM [vm]. */
    fun startEntry(name: String, vm: String = name) {
        val peers = (entries - name).joinToString { "\"${fleet.address("peer-$it")}\"" }
        val fields = "\"peers\": [$peers], \"vm\": \"$vm\""
        fleet.startEntry(name, "lodz-${vm.last()}", fields)
    }

    fun restartAgent(target: String) {
        fleet.processes.getValue("agent-$target").kill()
        fleet.startAgent(target, "service", "service-$target")
    }

    /** Publishes tables that differ from others by [slots] and returns the revision. */
    fun publish(slots: Int): Long = publish(pools(slots))

    fun publish(pools: String): Long {
        val body = JsonObject().put("routes", routes).put("pools", pools)
        return JsonObject(fleet.put("$service/control", body.encode()).body()).getLong("revision")
    }

    fun setMode(mode: String) {
        fleet.put("$service/control/mode", """{"mode": "$mode"}""")
    }

    fun calls(): Long = JsonObject(fleet.get("$service/control/calls").body()).getLong("calls")

    /** The revision in force at each process, null where there is none. */
    fun revisions(): List<Long?> = operators.map { fleet.statusOrNull(it)?.getLong("revision") }

    /** Addresses that [entry] hands to callers, in order. */
    fun listed(entry: String, dataCentre: String? = null): List<JsonObject> {
        val query = dataCentre?.let { "?dataCentre=$it" }.orEmpty()
        val url = "http://${fleet.address("caller-$entry")}/v1/entries$query"
        return JsonObject(fleet.get(url).body()).getJsonArray("entries").map { it as JsonObject }
    }

    fun isListed(by: String, entry: String): Boolean =
        listed(by).any { it.getString("address") == fleet.address("caller-$entry") }

    override fun close() {
        fleet.close()
    }

    private fun pools(slots: Int): String = JsonArray().add(
        JsonObject().put("name", "orders").put("type", "service").put("slotsPerTarget", slots)
            .put(
                "targets",
                targets.mapIndexed { index, target ->
                    JsonObject().put("target", target).put("dataCentre", "lodz-$index")
                        .put("agentAddress", fleet.address("agent-$target"))
                }.let { JsonArray(it) },
            ),
    ).encode()

    private val service get() = "http://${fleet.address("configuration-service")}"
}
