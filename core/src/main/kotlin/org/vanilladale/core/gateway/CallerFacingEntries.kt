package org.vanilladale.core.gateway

import org.vanilladale.schema.VmId

/**
 * Chooses the entries that callers are sent to; answers the cost of sharing the load of targets.
 *
 * Each entry that places requests has to know what all others have placed. That costs messages in
 * the square of their number, and the older the news, the more entries choose one target at a
 * time. So only as many entries take callers as the slots at targets need; the others stand by.
 * All entries that know the same peers choose the same ones.
 */
public object CallerFacingEntries {
    /** Places at targets that one entry forwards requests to; half of a small VM's processor. */
    public const val SLOTS_PER_ENTRY: Int = 32

    /** With fewer entries in a data centre, the loss of one would hit too many of its callers. */
    public const val MIN_ENTRIES_PER_DATA_CENTRE: Int = 3

    /**
     * Returns the entries among [serving] that take callers for [slots] slots at targets.
     *
     * The last names go first: the entry with the first name moves experts.
     */
    public fun choose(serving: Collection<AddressCandidate>, slots: Int): Set<VmId> {
        val byDataCentre = serving.groupBy { it.dataCentre }
        if (byDataCentre.isEmpty()) return emptySet()
        val needed = ceilDivide(ceilDivide(slots, SLOTS_PER_ENTRY), byDataCentre.size)
        val count = maxOf(needed, MIN_ENTRIES_PER_DATA_CENTRE)
        return byDataCentre.values.flatMapTo(LinkedHashSet()) { entries ->
            entries.map { it.vm }.sortedByDescending { it.text }.take(count)
        }
    }

    private fun ceilDivide(value: Int, divisor: Int): Int = (value + divisor - 1) / divisor
}
