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
 * What the pool of one target is to load, and in which order.
 *
 * Two revisions with the same [id] ask for the same, so that edits of other rows don't disturb a
 * rollout.
 *
 * @property revision revision that the plan was read from; the fencing number of its commands
 * @property units sets of targets that are away together, in the order in which they load: a
 *   target by itself or all ranks of a group
 * @property maxUnavailable largest number of units that may be away for loading at a time
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
    /** Returns the place of the unit of [target] in the order, or -1 when the pool has none. */
    public fun positionOf(target: TargetId): Int = units.indexOfFirst { target in it }

    public companion object {
        private const val HUNDRED_PERCENT = 100

        /** Returns the plan for [target], or null when no pool names a version for it. */
        public fun fromTablesOrNull(tables: JoinedTables, target: TargetId): RolloutPlan? =
            tables.tables.pools
                .firstOrNull { pool ->
                    pool.type == PoolType.MODEL && pool.version != null &&
                        pool.targets.any { it.target == target }
                }
                ?.let { fromPoolOrNull(it, tables.revision) }

        /** Returns the plan of [pool], or null when it names no version. */
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
            val maxUnavailable = (units.size * pool.loadSharePercent / HUNDRED_PERCENT).coerceAtLeast(
                1,
            )
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

        /** The order of the targets in the row does not matter. */
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
