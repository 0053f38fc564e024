package org.vanilladale.gateway

import org.vanilladale.schema.Timestamp

/**
 * What a caller has got of its stream, over all attempts.
 *
 * @property lastEvent id of the last event that was delivered; the one that the caller named before
 */
internal class StreamProgress(var lastEvent: Long?) {
    var firstEventAt: Timestamp? = null
        private set
    var longestGapMilliseconds = 0L
        private set
    private var previousEventAt: Timestamp? = null

    /** Notes an event and returns the pause before it, or null for the first one. */
    fun recordEvent(id: Long?, now: Timestamp): Long? {
        val gap = previousEventAt?.let { now.millisecondsSince(it) }
        if (gap != null && gap > longestGapMilliseconds) longestGapMilliseconds = gap
        if (firstEventAt == null) firstEventAt = now
        previousEventAt = now
        if (id != null) lastEvent = id
        return gap
    }
}
