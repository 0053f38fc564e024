package org.vanilladale.entry

import java.util.concurrent.ConcurrentHashMap
import org.vanilladale.core.admission.EntryCapacity
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.routing.SubsetEntry
import org.vanilladale.core.routing.TargetSubset
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetId

/** The targets that this entry uses, by pool, and the incarnations of their agents. */
internal class TargetFleet(private val settings: EntrySettings) {
    private class Assignment(
        val targets: Map<PoolName, List<TargetId>>,
        val pools: Map<TargetId, List<PoolName>>,
        val capacity: Int,
    )

    private val own = SubsetEntry(settings.vm, settings.dataCentre)
    private val incarnations = ConcurrentHashMap<TargetId, Incarnation>()

    @Volatile
    private var assignment = Assignment(emptyMap(), emptyMap(), 0)

    /** Live entries of the fleet, which share the targets evenly. */
    @Volatile
    var entries: List<SubsetEntry> = listOf(own)

    /** Returns the targets of [pool] that this entry uses. */
    fun targetsOf(pool: PoolName): List<TargetId> = assignment.targets[pool].orEmpty()

    /** Returns the pools that name [target]. */
    fun poolsOf(target: TargetId): List<PoolName> = assignment.pools[target].orEmpty()

    /** Returns the requests in flight from which on workspaces get fair shares. */
    fun capacity(): Int = assignment.capacity

    /** Computes the subsets for [tables] and returns the targets that need a connection. */
    fun assign(tables: JoinedTables): List<PoolTarget> {
        val pools = tables.tables.pools
        val subsets = pools.associate { pool ->
            val size = settings.subsetSize
            pool.name to TargetSubset.forEntry(own, entries, pool.targets, size).targets
        }
        val byTarget = subsets.flatMap { (pool, targets) -> targets.map { it to pool } }
            .groupBy({ it.first }, { it.second })
        assignment =
            Assignment(subsets, byTarget, EntryCapacity.fromTables(tables.tables, entries.size))
        return pools.flatMap { it.targets }
            .filter { it.target in byTarget }
            .distinctBy { it.target }
    }

    /** Records the incarnation of the agent of [target]; returns true if it replaced another. */
    fun recordIncarnation(target: TargetId, incarnation: Incarnation): Boolean {
        val before = incarnations.put(target, incarnation)
        return before != null && before != incarnation
    }

    /** Returns the last incarnation seen of the agent of [target]. */
    fun incarnationOrNull(target: TargetId): Incarnation? = incarnations[target]
}
