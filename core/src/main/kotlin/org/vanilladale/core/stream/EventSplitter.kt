package org.vanilladale.core.stream

/**
 * One event of a `text/event-stream` body.
 *
 * @property bytes bytes of the event, including the blank line at its end
 * @property id number in the `id` line, or null if there is none
 */
public class StreamEvent(public val bytes: ByteArray, public val id: Long?)

/**
 * Splits a `text/event-stream` body into events, regardless of the chunks in which it arrives.
 *
 * Only complete events are returned. If a stream breaks off in the middle of an event, another
 * target can therefore continue it after the last complete one.
 */
public class EventSplitter {
    private var pending = ByteArray(0)

    /** True while bytes of an incomplete event are buffered. */
    public val hasPartialEvent: Boolean get() = pending.isNotEmpty()

    /** Adds the next [bytes] of the body and returns the events that they complete. */
    public fun feed(bytes: ByteArray): List<StreamEvent> {
        pending += bytes
        val events = ArrayList<StreamEvent>(1)
        var start = 0
        while (true) {
            val end = endOfEvent(start)
            if (end < 0) break
            val event = pending.copyOfRange(start, end)
            events += StreamEvent(event, idOf(event))
            start = end
        }
        if (start > 0) pending = pending.copyOfRange(start, pending.size)
        return events
    }

    /** Returns the index after the blank line that ends the event at [start], or -1 without one. */
    private fun endOfEvent(start: Int): Int {
        var lineStart = start
        for (index in start until pending.size) {
            if (pending[index] != LINE_FEED) continue
            val length = index - lineStart
            val blank = length == 0 || (length == 1 && pending[lineStart] == CARRIAGE_RETURN)
            if (blank && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun idOf(event: ByteArray): Long? = event.decodeToString()
        .lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()
        ?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
