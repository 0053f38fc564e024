package org.vanilladale.core.gateway

import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** Role of an entry in the placement of a pool's experts. */
public enum class ExpertRole {
    /** Leaves the experts to the leader and its deputy. */
    NONE,

    /**
     * Releases groups that the leader has left on hold. If the leader freezes while it holds a
     * group, all streams of that group stop until the deputy releases it.
     */
    DEPUTY,

    /** Decides which ranks hold which experts and moves experts between ranks. */
    LEADER,
}

/**
 * Assigns the [ExpertRole] of each entry.
 *
 * The serving entry with the first name in lexical order is the leader, and the next one is its
 * deputy. Entries that are about to serve count as well. If they did not, and all entries started
 * at once, each would lead until it received the heartbeat of an entry with an earlier name, and
 * map switches by several leaders stop the streams of a group for seconds.
 */
public object ExpertRoles {
    /** Returns the role of the serving entry [own] among its live [peers]. */
    public fun roleOf(own: VmId, peers: Collection<PeerEntry>, now: Timestamp): ExpertRole {
        val before = peers.count { it.heartbeat.vm.text < own.text && it.isServingSoon(now) }
        return when (before) {
            0 -> ExpertRole.LEADER
            1 -> ExpertRole.DEPUTY
            else -> ExpertRole.NONE
        }
    }
}
