package org.vanilladale.core.gateway

import org.vanilladale.schema.VmId

/**
 * Chooses the entries that take requests from callers.
 *
 * Each entry that places requests needs the current load of all other entries at each target. The
 * number of messages for this grows with the square of the number of entries, and with outdated
 * loads several entries choose the same target at once. Therefore only as many entries take
 * requests of callers as the slots at the targets need, and the others are standbys. All entries
 * that know the same peers make the same choice.
 */
public object CallerFacingEntries {
    /**
     * Number of slots at targets that one entry forwards requests to. Forwarding to that many takes
     * half of the processor of a small VM.
     */
    public const val SLOTS_PER_ENTRY: Int = 32

    /**
     * Minimum number of caller-facing entries per data centre. With fewer, the loss of one would
     * affect too many of its callers.
     */
    public const val MIN_ENTRIES_PER_DATA_CENTRE: Int = 3

    /**
     * Returns the entries among [serving] that take requests of callers if the targets have [slots]
     * slots.
     *
     * Entries with the last names in lexical order are chosen first, because the entry with the
     * first name moves experts.
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
