package org.vanilladale.core.rollout

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.hash.StableHash
import org.vanilladale.core.hash.rendezvousScore
import org.vanilladale.schema.Adapter
import org.vanilladale.schema.ModelName
import org.vanilladale.schema.ModelVersion
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Revision
import org.vanilladale.schema.TargetId

/**
 * The model version and adapters that the targets of a pool must load, and the order in which they
 * load.
 *
 * Plans with the same [id] have the same content even if their revisions differ, so edits of other
 * rows don't disturb a rollout.
 *
 * @property revision the revision that the plan was created from, used as the fencing number of its
 *   commands
 * @property units the sets of targets that become unavailable together, in loading order. A unit is
 *   either a single target or all ranks of a group.
 * @property maxUnavailable the maximum number of units that may be unavailable for loading at the
 *   same time
 */
public data class RolloutPlan(
    val id: Long,
    val pool: PoolName,
    val revision: Revision,
    val model: ModelName,
    val version: ModelVersion,
    val adapters: List<Adapter>,
    val units: List<Set<TargetId>>,
    val maxUnavailable: Int,
) {
    /**
     * Returns the index in [units] of the unit with [target], or -1 if the pool doesn't contain it.
     */
    public fun positionOf(target: TargetId): Int = units.indexOfFirst { target in it }

    public companion object {
        private const val HUNDRED_PERCENT = 100

        /** Returns the plan for [target], or null if no pool specifies a version for it. */
        public fun fromTablesOrNull(tables: JoinedTables, target: TargetId): RolloutPlan? =
            tables.tables.pools
                .firstOrNull { pool ->
                    pool.type == PoolType.MODEL && pool.version != null &&
                        pool.targets.any { it.target == target }
                }
                ?.let { fromPoolOrNull(it, tables.revision) }

        /** Returns the plan for [pool], or null if it specifies no model or no version. */
        public fun fromPoolOrNull(pool: Pool, revision: Revision): RolloutPlan? {
            val model = pool.model ?: return null
            val version = pool.version ?: return null
            val adapters = pool.adapters.sortedBy { it.name.text }
            val members = pool.targets
                .groupBy({ it.group?.let { group -> "group $group" } ?: "target ${it.target}" }) {
                    it.target
                }
            val id = idOf(pool, adapters)
            val units = members.entries
                .sortedWith(compareBy({ -rendezvousScore("$id", it.key) }, { it.key }))
                .map { it.value.toSet() }
            val maxUnavailable =
                (units.size * pool.loadSharePercent / HUNDRED_PERCENT).coerceAtLeast(1)
            return RolloutPlan(
                id,
                pool.name,
                revision,
                model,
                version,
                adapters,
                units,
                maxUnavailable,
            )
        }

        /** Returns a hash that doesn't depend on the order of targets and adapters in the row. */
        private fun idOf(pool: Pool, adapters: List<Adapter>): Long {
            val fields = listOf(pool.name.text, "${pool.model}", "${pool.version}") +
                adapters.flatMap { listOf(it.name.text, it.version.text) } +
                pool.targets.sortedBy { it.target.text }
                    .flatMap { listOf(it.target.text, "${it.group}") } +
                "${pool.loadSharePercent}"
            return fields.fold(0L) { hash, field ->
                StableHash.ofPair(hash, StableHash.ofText(field))
            }
        }
    }
}
