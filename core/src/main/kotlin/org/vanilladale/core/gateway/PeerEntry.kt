package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase

/** Another entry, as its last [beat] states it; it counts as lost from [silentAt] on. */
public data class PeerEntry(val beat: EntryBeat, val silentAt: Deadline) {
    /** True when the entry takes new requests of callers. */
    public val isServing: Boolean get() = beat.phase == EntryPhase.SERVING
}
