package org.vanilladale.core.admission

import org.vanilladale.schema.Tables

/**
 * Requests in flight at one entry from which on workspaces get fair shares.
 *
 * A factor of 1.25 refused 224 instead of 2 requests a run at 0.8 times capacity, and from 3 on the
 * smallest workspace's share in a flood fell from 0.98 to 0.89; see docs/measurements-routing.md.
 */
public object EntryCapacity {
    private const val REQUESTS_PER_SLOT = 2

    /** Keeps an entry of a very small pool from refusing at once. */
    private const val MIN_CAPACITY = 8

    /** Returns the capacity of one of [entries] entries that share the slots of [tables]. */
    public fun fromTables(tables: Tables, entries: Int): Int {
        val slots = tables.pools.sumOf { it.slotsPerTarget * it.targets.size }
        return (REQUESTS_PER_SLOT * slots / entries.coerceAtLeast(1)).coerceAtLeast(MIN_CAPACITY)
    }
}
