package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.Timestamp

/**
 * Another entry, as its last [heartbeat] states it; it counts as lost from [silenceDeadline] on.
 *
 * @property startDeadline time until which the entry is expected to serve; null unless it is starting
 */
public data class PeerEntry(
    val heartbeat: EntryBeat,
    val silenceDeadline: Deadline,
    val startDeadline: Deadline? = null,
) {
    /** True when the entry takes new requests of callers. */
    public val isServing: Boolean get() = heartbeat.phase == EntryPhase.SERVING

    /** Returns true when the entry serves or is about to. */
    public fun isServingSoon(now: Timestamp): Boolean =
        isServing || startDeadline?.hasPassed(now) == false
}
