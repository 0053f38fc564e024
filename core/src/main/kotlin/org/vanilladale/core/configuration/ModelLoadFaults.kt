package org.vanilladale.core.configuration

import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolType

private const val MAX_PERCENT = 100

/** Returns the faults in the fields of [pool] about the model version, adapters and loading. */
internal fun findModelLoadFaults(place: String, pool: Pool): List<TableFault> = buildList {
    if (pool.loadSharePercent !in 1..MAX_PERCENT) {
        add(
            TableFault(
                "$place.loadSharePercent",
                "${pool.loadSharePercent}",
                "set a number from 1 to $MAX_PERCENT",
            ),
        )
    }
    if (pool.type == PoolType.SERVICE && pool.version != null) {
        add(
            TableFault(
                "$place.version",
                "'${pool.version}' in a service pool",
                "remove it; only model pools load versions",
            ),
        )
    }
    if (pool.type == PoolType.SERVICE && pool.adapters.isNotEmpty()) {
        add(
            TableFault(
                "$place.adapters",
                "${pool.adapters.size} adapters in a service pool",
                "remove them; only model pools load adapters",
            ),
        )
    }
    if (pool.type == PoolType.MODEL && pool.adapters.isNotEmpty() && pool.version == null) {
        add(
            TableFault(
                "$place.version",
                "nothing beside ${pool.adapters.size} adapters",
                "name the model version that the adapters belong to",
            ),
        )
    }
    addAll(findDuplicateFaults("$place.adapters", "name", pool.adapters.map { it.name.text }))
}

/**
 * Returns a fault for each target of a pool with a version that is also listed in another model
 * pool. An engine can have only one desired state.
 */
internal fun findSharedTargetFaults(pools: List<Pool>): List<TableFault> = buildList {
    val modelPools = pools.filter { it.type == PoolType.MODEL }
    pools.forEachIndexed { index, pool ->
        if (pool.version == null || pool.type != PoolType.MODEL) return@forEachIndexed
        pool.targets.forEachIndexed { position, target ->
            val other = modelPools.firstOrNull { candidate ->
                candidate !== pool && candidate.targets.any { it.target == target.target }
            }
            if (other != null) {
                add(
                    TableFault(
                        "pools[$index].targets[$position].target",
                        "'${target.target}', also in pool '${other.name}'",
                        "list a target of a pool with a version in one model pool only",
                    ),
                )
            }
        }
    }
}
