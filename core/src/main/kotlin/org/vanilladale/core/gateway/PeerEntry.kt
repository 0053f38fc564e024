package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.Timestamp

/**
 * Another entry as its last heartbeat describes it.
 *
 * @property heartbeat last heartbeat of the entry
 * @property silenceDeadline time at which the entry counts as lost unless another heartbeat arrives
 * @property addressDeadline time from which the entry counts as ended rather than unreachable, and
 *   its address is not given to callers, unless another heartbeat arrives
 * @property startDeadline time by which the entry is expected to serve; null unless it is starting
 */
public data class PeerEntry(
    val heartbeat: EntryBeat,
    val silenceDeadline: Deadline,
    val addressDeadline: Deadline,
    val startDeadline: Deadline? = null,
) {
    /** Whether the entry takes new requests of callers. */
    public val isServing: Boolean get() = heartbeat.phase == EntryPhase.SERVING

    /**
     * Returns the entry as a candidate for callers. An entry that sends heartbeats seldom is still
     * live for some time after its address deadline, but must not be named then.
     */
    public fun addressCandidate(now: Timestamp): AddressCandidate = AddressCandidate(
        heartbeat.vm,
        heartbeat.dataCentre,
        serving = isServing && !addressDeadline.hasPassed(now),
    )

    /** Returns whether the entry serves, or is starting and expected to serve soon. */
    public fun isServingSoon(now: Timestamp): Boolean =
        isServing || startDeadline?.hasPassed(now) == false
}
