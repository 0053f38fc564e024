package org.vanilladale.core.gateway

import kotlin.random.Random
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId

/**
 * An entry whose address may be given to a caller.
 *
 * @property serving whether the entry takes new requests of callers
 */
public data class AddressCandidate(
    val vm: VmId,
    val dataCentre: DataCentreName,
    val serving: Boolean,
)

/** Chooses the entries whose addresses a caller gets. */
public object CallerAddresses {
    /** Maximum number of entries in one answer. */
    public const val MAX_ENTRIES: Int = 64

    /**
     * Minimum number of entries in the caller's data centre for an answer without the entries of
     * other data centres. With fewer, the failure of one entry would affect too many requests.
     */
    public const val MIN_NEARBY_ENTRIES: Int = 3

    /**
     * Returns serving entries in random order: only those in [callerDataCentre] if there are at
     * least [MIN_NEARBY_ENTRIES] of them, otherwise the entries of all data centres.
     *
     * If this entry just lost at least half of all entries, it is more likely to be isolated
     * itself. The result then also contains the lost entries, because callers may still reach them.
     *
     * @param live entries with a recent heartbeat, including this entry
     * @param lost entries whose heartbeats have just stopped; see [FleetView.possiblyServing].
     *   Entries that were lost earlier have probably ended, and with them the number of lost
     *   entries would only grow while entries are replaced
     * @param callerFacing entries that take requests from callers; other live entries are left out
     */
    public fun choose(
        live: List<AddressCandidate>,
        lost: List<AddressCandidate>,
        callerDataCentre: DataCentreName?,
        random: Random,
        callerFacing: Set<VmId> = live.mapTo(HashSet()) { it.vm },
    ): List<VmId> {
        val isCutOff = lost.size >= live.size
        val accepting = live.filter { it.vm in callerFacing }
        val known = if (isCutOff) accepting + lost else accepting
        val serving = known.filter { it.serving }.shuffled(random)
        val (nearby, distant) = serving.partition { it.dataCentre == callerDataCentre }
        val chosen = if (nearby.size >= MIN_NEARBY_ENTRIES) nearby else nearby + distant
        return chosen.take(MAX_ENTRIES).map { it.vm }
    }
}
