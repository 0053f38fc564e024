package org.vanilladale.core.configuration

import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Route
import org.vanilladale.schema.Tables

private const val MAX_PRIORITY = 9
private const val MAX_PERCENT = 100

/** Returns all faults in the values of [tables] and in the join of routes and pools. */
public fun findTableFaults(tables: Tables): List<TableFault> {
    val poolTypes = tables.pools.associate { it.name to it.type }
    val faults = mutableListOf<TableFault>()
    tables.routes.forEachIndexed { index, route ->
        faults += findRouteFaults("routes[$index]", route)
        val poolType = poolTypes[route.pool]
        if (poolType == null) {
            faults += TableFault(
                "routes[$index].pool",
                "'${route.pool}'",
                "name a pool of the table of pools or add this pool",
            )
        } else if (poolType == PoolType.MODEL && !route.idempotent) {
            faults += TableFault(
                "routes[$index].idempotent",
                "false with model pool '${route.pool}'",
                "send non-idempotent requests to a service pool",
            )
        }
    }
    tables.pools.forEachIndexed { index, pool -> faults += findPoolFaults("pools[$index]", pool) }
    faults += findSharedTargetFaults(tables.pools)
    faults += findDuplicateFaults("routes", "name", tables.routes.map { it.name.text })
    faults += findDuplicateFaults("routes", "kind", tables.routes.map { it.kind.text })
    faults += findDuplicateFaults("pools", "name", tables.pools.map { it.name.text })
    return faults
}

private fun findRouteFaults(place: String, route: Route): List<TableFault> = buildList {
    if (route.deadlineMilliseconds <= 0) {
        add(
            TableFault(
                "$place.deadlineMilliseconds",
                "${route.deadlineMilliseconds}",
                "set a positive number of milliseconds",
            ),
        )
    }
    if (route.priority !in 0..MAX_PRIORITY) {
        add(
            TableFault(
                "$place.priority",
                "${route.priority}",
                "set a number from 0 to $MAX_PRIORITY",
            ),
        )
    }
    if (route.retryBudgetPercent !in 0..MAX_PERCENT) {
        add(
            TableFault(
                "$place.retryBudgetPercent",
                "${route.retryBudgetPercent}",
                "set a number from 0 to $MAX_PERCENT",
            ),
        )
    }
    if (route.hedgeBudgetPercent !in 0..MAX_PERCENT) {
        add(
            TableFault(
                "$place.hedgeBudgetPercent",
                "${route.hedgeBudgetPercent}",
                "set a number from 0 to $MAX_PERCENT",
            ),
        )
    }
    if (route.hedgeBudgetPercent > 0 && !route.idempotent) {
        add(
            TableFault(
                "$place.hedgeBudgetPercent",
                "${route.hedgeBudgetPercent} on a non-idempotent route",
                "set 0; a hedge would run the request twice",
            ),
        )
    }
    if (route.maximumInFlightPerWorkspace <= 0) {
        add(
            TableFault(
                "$place.maximumInFlightPerWorkspace",
                "${route.maximumInFlightPerWorkspace}",
                "set a positive number",
            ),
        )
    }
    if (!route.path.startsWith("/")) {
        add(TableFault("$place.path", "'${route.path}'", "start the path with '/'"))
    }
}

private fun findPoolFaults(place: String, pool: Pool): List<TableFault> = buildList {
    if (pool.targets.isEmpty()) {
        add(TableFault("$place.targets", "no target", "list at least one target"))
    }
    if (pool.skewWeight !in 0.0..1.0) {
        add(TableFault("$place.skewWeight", "${pool.skewWeight}", "set a number from 0 to 1"))
    }
    if (pool.slotsPerTarget <= 0) {
        add(TableFault("$place.slotsPerTarget", "${pool.slotsPerTarget}", "set a positive number"))
    }
    if (pool.queuePerTarget < 0) {
        add(TableFault("$place.queuePerTarget", "${pool.queuePerTarget}", "set 0 or more"))
    }
    if (pool.type == PoolType.MODEL && pool.model == null) {
        add(TableFault("$place.model", "nothing", "name the model that the pool serves"))
    }
    addAll(findModelLoadFaults(place, pool))
    addAll(findDuplicateFaults("$place.targets", "target", pool.targets.map { it.target.text }))
    pool.targets.forEachIndexed { index, target ->
        if ((target.group == null) != (target.rank == null)) {
            add(
                TableFault(
                    "$place.targets[$index]",
                    "only one of group and rank",
                    "give both for a rank of a group, or neither",
                ),
            )
        }
    }
    val ranks = pool.targets.filter { it.group != null }.map { "${it.group}/${it.rank}" }
    addAll(findDuplicateFaults("$place.targets", "rank", ranks))
}

internal fun findDuplicateFaults(
    place: String,
    field: String,
    values: List<String>,
): List<TableFault> =
    values.withIndex().groupBy { it.value }.values.filter { it.size > 1 }.map { same ->
        TableFault(
            "$place[${same.last().index}].$field",
            "'${same.first().value}' ${same.size} times",
            "give each row its own $field",
        )
    }
