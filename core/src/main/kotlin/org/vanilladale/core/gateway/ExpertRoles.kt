package org.vanilladale.core.gateway

import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** What an entry does about the experts of a pool. */
public enum class ExpertRole {
    NONE,

    /** Frees groups that the leader left held; a freeze of the leader stops all streams of one. */
    DEPUTY,

    /** Moves experts. */
    LEADER,
}

/**
 * Chooses the entry that moves experts; answers the start of all entries at once.
 *
 * The entry with the first name leads and the next one is its deputy. Entries that are about to
 * serve count as well: when all start at once, each would otherwise lead until it has heard of an
 * earlier one, and switches of several leaders stop the streams of a group for seconds.
 */
public object ExpertRoles {
    /** Returns the role of the serving entry [own] among the [peers] that it hears. */
    public fun roleOf(own: VmId, peers: Collection<PeerEntry>, now: Timestamp): ExpertRole {
        val before = peers.count { it.heartbeat.vm.text < own.text && it.isServingSoon(now) }
        return when (before) {
            0 -> ExpertRole.LEADER
            1 -> ExpertRole.DEPUTY
            else -> ExpertRole.NONE
        }
    }
}
