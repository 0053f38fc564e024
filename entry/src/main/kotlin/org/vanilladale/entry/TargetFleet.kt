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

/** The targets that this entry uses in each pool, and the incarnations of their agents. */
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

    /** The live entries of the fleet, among which the targets are distributed evenly. */
    @Volatile
    var entries: List<SubsetEntry> = listOf(own)

    /** Returns the targets of [pool] that this entry uses. */
    fun targetsOf(pool: PoolName): List<TargetId> = assignment.targets[pool].orEmpty()

    /** Returns the pools in which this entry uses [target]. */
    fun poolsOf(target: TargetId): List<PoolName> = assignment.pools[target].orEmpty()

    /** Returns the number of requests in flight above which workspaces get fair shares. */
    fun capacity(): Int = assignment.capacity

    /** Computes the subset of each pool in [tables] and returns the targets to connect to. */
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

    /** Records the agent incarnation of [target]. Returns true if it replaced another one. */
    fun recordIncarnation(target: TargetId, incarnation: Incarnation): Boolean {
        val before = incarnations.put(target, incarnation)
        return before != null && before != incarnation
    }

    /** Returns the last recorded agent incarnation of [target], or null if there is none. */
    fun incarnationOrNull(target: TargetId): Incarnation? = incarnations[target]
}
