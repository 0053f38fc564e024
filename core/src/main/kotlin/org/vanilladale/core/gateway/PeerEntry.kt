package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.Timestamp

/**
 * Another entry, as its last [beat] states it; it counts as lost from [silentAt] on.
 *
 * @property startDue time until which the entry is expected to serve; null unless it is starting
 */
public data class PeerEntry(
    val beat: EntryBeat,
    val silentAt: Deadline,
    val startDue: Deadline? = null,
) {
    /** True when the entry takes new requests of callers. */
    public val isServing: Boolean get() = beat.phase == EntryPhase.SERVING

    /** Returns true when the entry serves or is about to. */
    public fun isServingSoon(now: Timestamp): Boolean =
        isServing || startDue?.hasPassed(now) == false
}
