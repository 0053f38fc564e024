package org.vanilladale.gateway

import org.vanilladale.schema.Timestamp

/**
 * Part of a stream that a caller has received over all attempts.
 *
 * @property lastEvent id of the last event delivered; initially the one that the caller stated in
 *   its request
 */
internal class StreamProgress(var lastEvent: Long?) {
    var firstEventAt: Timestamp? = null
        private set

    /** Number of events delivered over all attempts. */
    var events = 0
        private set
    var longestGapMilliseconds = 0L
        private set
    private var previousEventAt: Timestamp? = null

    /**
     * Records an event and returns the pause before it in milliseconds, or null for the first
     * event.
     */
    fun recordEvent(id: Long?, now: Timestamp): Long? {
        val gap = previousEventAt?.let { now.millisecondsSince(it) }
        if (gap != null && gap > longestGapMilliseconds) longestGapMilliseconds = gap
        events++
        if (firstEventAt == null) firstEventAt = now
        previousEventAt = now
        if (id != null) lastEvent = id
        return gap
    }
}
