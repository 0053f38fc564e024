package org.vanilladale.core.gateway

import kotlin.random.Random
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.VmId

/** An entry that could be named to a caller. */
public data class AddressCandidate(
    val vm: VmId,
    val dataCentre: DataCentreName,
    val serving: Boolean,
)

/** Chooses the entries that a caller is told to use. */
public object CallerAddresses {
    /** Most entries of one answer. */
    public const val MAX_ENTRIES: Int = 64

    /** With fewer entries in the caller's data centre, one failure would hit too many requests. */
    public const val MIN_NEARBY_ENTRIES: Int = 3

    /**
     * Returns serving entries in random order: those of [callerDataCentre] alone when there are enough of
     * them, all others as well when there are not.
     *
     * [live] are the entries heard lately, this one included, and [lost] those that fell silent.
     * An entry that lost more than half of its peers is more likely to be cut off itself, so it
     * names the lost ones as well: callers may reach them. Of the live ones only the [callerFacing] are
     * accepting, those that take callers at all.
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
