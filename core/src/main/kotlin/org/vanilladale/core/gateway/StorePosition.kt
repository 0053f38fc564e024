package org.vanilladale.core.gateway

import org.vanilladale.schema.Revision
import org.vanilladale.schema.StoreEra

/**
 * Position in the history of the store.
 *
 * A store that is restored from a backup assigns revisions again, so revisions are comparable only
 * within an era. Without an era on either side, positions are compared by revision alone.
 *
 * @property era null if the store names none
 */
public data class StorePosition(val era: StoreEra?, val revision: Revision) {
    /** Returns whether this position is later than [other]. */
    public fun isAfter(other: StorePosition): Boolean = when {
        isNewer(era, other.era) -> true
        isNewer(other.era, era) -> false
        else -> revision > other.revision
    }

    public companion object {
        /** Returns whether both eras are known and [era] is the later one. */
        public fun isNewer(era: StoreEra?, other: StoreEra?): Boolean =
            era != null && other != null && era > other
    }
}
