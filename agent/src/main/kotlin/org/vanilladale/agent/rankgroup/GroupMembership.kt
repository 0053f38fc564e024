package org.vanilladale.agent.rankgroup

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Rank
import org.vanilladale.schema.TargetId

/**
 * Place of one target in its rank group, from the tables.
 *
 * @property peers the other targets of the group by rank
 */
internal data class GroupMembership(
    val pool: PoolName,
    val group: GroupId,
    val rank: Rank,
    val peers: Map<Rank, PoolTarget>,
    val checksFencing: Boolean,
) {
    val ranks: Set<Rank> get() = peers.keys + rank

    /** Returns the rank of the peer that serves [target]. */
    fun rankOfOrNull(target: TargetId?): Rank? =
        peers.entries.firstOrNull { it.value.target == target }?.key

    companion object {
        /** Returns the place of [target], or null when it belongs to no group. */
        fun findOrNull(tables: JoinedTables, target: TargetId): GroupMembership? {
            for (pool in tables.tables.pools) {
                val own = pool.targets.firstOrNull { it.target == target }
                val group = own?.group
                val rank = own?.rank
                if (group != null && rank != null) {
                    val peers = pool.targets.filter { it.group == group && it.target != target }
                        .mapNotNull { peer -> peer.rank?.let { it to peer } }
                        .toMap()
                    return GroupMembership(pool.name, group, rank, peers, pool.checksFencing)
                }
            }
            return null
        }
    }
}
