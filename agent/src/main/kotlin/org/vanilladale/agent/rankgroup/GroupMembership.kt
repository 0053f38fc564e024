package org.vanilladale.agent.rankgroup

import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Rank
import org.vanilladale.schema.TargetId

/**
 * Membership of one target in a rank group, as the tables define it.
 *
 * @property peers other targets of the group by rank
 * @property checksFencing whether the engines of the pool reject commands of older terms
 */
internal data class GroupMembership(
    val pool: PoolName,
    val group: GroupId,
    val rank: Rank,
    val peers: Map<Rank, PoolTarget>,
    val checksFencing: Boolean,
) {
    /** All ranks of the group, including [rank]. */
    val ranks: Set<Rank> get() = peers.keys + rank

    /** Returns the rank of the peer that serves [target], or null if there is none. */
    fun rankOfOrNull(target: TargetId?): Rank? =
        peers.entries.firstOrNull { it.value.target == target }?.key

    companion object {
        /** Returns the membership of [target], or null if it belongs to no group. */
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
