package org.vanilladale.core.gateway

import org.vanilladale.schema.Revision
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Targets that were leaving or gone, so that a store restored from an older copy doesn't bring them
 * back. Not thread-safe; callers synchronize access.
 *
 * Handles the load of callers that goes on while the store returns with records of targets that
 * have left since the copy. Before the first restore, no record is stale.
 */
internal class TargetDepartures {
    private class Departure(val startedAt: Timestamp?, val wasLeaving: Boolean) {
        var isBeforeRestore = false
    }

    private val departures = LinkedHashMap<TargetId, Departure>()
    private var restoredAt: Revision? = null

    /** Records that the store was restored and first read at [revision] after that. */
    fun storeRestored(revision: Revision) {
        restoredAt = revision
        departures.values.forEach { it.isBeforeRestore = true }
    }

    /** Records the state of [target]. */
    fun recordListed(target: KnownTarget) {
        if (target.leaving) {
            record(target)
        } else {
            departures.remove(target.id)
        }
    }

    /** Records that [target] is gone. */
    fun recordGone(target: KnownTarget): Unit = record(target)

    /**
     * Returns whether [record] contradicts a departure that was known before the restore. A target
     * that was leaving never becomes ready in the same lifetime. One that was only removed may
     * register again.
     *
     * @param revision revision of the record; null if it was delivered as a change
     */
    fun isStale(record: KnownTarget, revision: Revision?): Boolean {
        val departure = departures[record.id]?.takeIf { it.isBeforeRestore } ?: return false
        if (isLater(record.startedAt, departure.startedAt)) return false
        val isSameLifetime = departure.startedAt != null && record.startedAt != null
        return isCopied(revision) || (departure.wasLeaving && isSameLifetime && !record.leaving)
    }

    /** Returns whether a record of [revision] may come from the copy that was restored. */
    fun isCopied(revision: Revision?): Boolean {
        val restored = restoredAt
        return restored != null && revision != null && revision <= restored
    }

    private fun record(target: KnownTarget) {
        val known = departures.remove(target.id)?.takeIf { it.startedAt == target.startedAt }
        val departure = Departure(target.startedAt, target.leaving || known?.wasLeaving == true)
        departure.isBeforeRestore = known?.isBeforeRestore == true
        departures[target.id] = departure
        if (departures.size > MAX_DEPARTURES) departures.remove(departures.keys.first())
    }

    companion object {
        /** Bounds the memory; several times the targets of the largest fleet. */
        const val MAX_DEPARTURES = 4_096

        /** Returns whether [startedAt] is known to be later than [other]. */
        fun isLater(startedAt: Timestamp?, other: Timestamp?): Boolean =
            startedAt != null && other != null && startedAt > other
    }
}
