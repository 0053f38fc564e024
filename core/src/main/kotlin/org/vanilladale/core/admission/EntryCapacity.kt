package org.vanilladale.core.admission

import org.vanilladale.schema.Tables

/**
 * Number of requests in flight at one entry from which on each workspace gets only its fair share.
 *
 * At a load of 0.8 times the capacity, 2 requests of a run were refused with 2 requests per slot
 * and 224 with 1.25 requests per slot. With 3 requests per slot or more, the share of the smallest
 * workspace under overload by another one fell from 0.98 to 0.89. See docs/measurements-routing.md.
 */
public object EntryCapacity {
    private const val REQUESTS_PER_SLOT = 2

    /**
     * Minimum capacity, so that an entry with very small pools does not refuse the first requests.
     */
    private const val MIN_CAPACITY = 8

    /**
     * Returns the capacity of each of [entries] entries that share the slots of [tables] equally.
     */
    public fun fromTables(tables: Tables, entries: Int): Int {
        val slots = tables.pools.sumOf { it.slotsPerTarget * it.targets.size }
        return (REQUESTS_PER_SLOT * slots / entries.coerceAtLeast(1)).coerceAtLeast(MIN_CAPACITY)
    }
}
