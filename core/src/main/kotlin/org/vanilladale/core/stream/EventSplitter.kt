package org.vanilladale.core.stream

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * One event of a `text/event-stream` body, or a run of comments between two events.
 *
 * @property bytes bytes of the event, including the blank line at its end
 * @property id number in the `id` line, or null if there is none
 * @property isComment whether the event has neither data nor an id, like the comments that keep an
 *   idle connection open
 */
public class StreamEvent(
    public val bytes: ByteArray,
    public val id: Long?,
    public val isComment: Boolean,
)

/**
 * More than [limit] bytes came without the end of an event with data; the target has to be left.
 */
public data class OversizedEvent(val limit: Int)

/**
 * Splits a `text/event-stream` body into events, regardless of the chunks in which it arrives.
 *
 * Only complete events are returned. If a stream breaks off in the middle of an event, another
 * target can therefore continue it after the last complete one. Comments that arrive together are
 * returned as one, so that a target that sends nothing else does not cause a write for each. Each
 * byte is looked at once, and at most [maxEventBytes] and one chunk are buffered, whatever a target
 * sends. Comments between two events have the same limit.
 */
public class EventSplitter(private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES) {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Index of the first byte that has not been looked at. */
    private var scanned = 0

    /** Start of the line that contains the byte at [scanned]. */
    private var lineStart = 0

    /** End of the comments at the start of the buffer; the next event begins there. */
    private var commentsEnd = 0

    /** Whether a line of the current event is data or an id. */
    private var hasData = false

    /** Number of bytes of comments since the last event with data. */
    private var commentBytes = 0

    /** True while bytes of an incomplete event are buffered. */
    public val hasPartialEvent: Boolean get() = size > 0

    /** Adds the next [bytes] of the body and returns the events that they complete. */
    public fun feed(bytes: ByteArray): Either<OversizedEvent, List<StreamEvent>> {
        append(bytes)
        val events = ArrayList<StreamEvent>(1)
        var start = 0
        while (scanned < size) {
            val index = scanned++
            if (pending[index] != LINE_FEED) continue
            val isBlank = isBlank(lineStart, index)
            hasData = hasData || !isBlank && isDataLine(lineStart, index)
            // Blank lines end an event, and belong to the comments if there is none.
            if (isBlank && hasData) {
                addComments(events, start)
                events += eventOf(pending.copyOfRange(commentsEnd, index + 1))
                start = index + 1
                commentsEnd = start
                commentBytes = 0
                hasData = false
            } else if (isBlank) {
                commentsEnd = index + 1
            }
            lineStart = index + 1
        }
        addComments(events, start)
        discard(commentsEnd)
        return if (maxOf(size, commentBytes) > maxEventBytes) {
            OversizedEvent(maxEventBytes).left()
        } else {
            events.right()
        }
    }

    /** Adds the comments that begin at [start], if there are any, to [events]. */
    private fun addComments(events: MutableList<StreamEvent>, start: Int) {
        if (commentsEnd <= start) return
        commentBytes += commentsEnd - start
        events += StreamEvent(pending.copyOfRange(start, commentsEnd), id = null, isComment = true)
    }

    private fun append(bytes: ByteArray) {
        if (size + bytes.size > pending.size) {
            pending = pending.copyOf(maxOf(size + bytes.size, 2 * pending.size))
        }
        bytes.copyInto(pending, size)
        size += bytes.size
    }

    /** Drops the bytes before [start], which have been returned. */
    private fun discard(start: Int) {
        if (start == 0) return
        pending.copyInto(pending, 0, start, size)
        size -= start
        scanned -= start
        lineStart -= start
        commentsEnd = 0
    }

    private fun isDataLine(from: Int, lineFeed: Int): Boolean =
        startsWith(ID_BYTES, from, lineFeed) || startsWith(DATA_BYTES, from, lineFeed)

    private fun startsWith(prefix: ByteArray, from: Int, end: Int): Boolean =
        end - from >= prefix.size && prefix.indices.all { pending[from + it] == prefix[it] }

    private fun isBlank(from: Int, lineFeed: Int): Boolean =
        lineFeed == from || (lineFeed == from + 1 && pending[from] == CARRIAGE_RETURN)

    private fun eventOf(bytes: ByteArray): StreamEvent {
        val lines = bytes.decodeToString().lineSequence()
        val id = lines.firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
        return StreamEvent(bytes, id, isComment = false)
    }

    public companion object {
        /** Default limit for one event. Events of model engines have a few hundred bytes. */
        public const val DEFAULT_MAX_EVENT_BYTES: Int = 256 shl 10

        private const val INITIAL_BYTES = 512
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"
        private val ID_BYTES = ID_FIELD.encodeToByteArray()
        private val DATA_BYTES = "data".encodeToByteArray()
    }
}
