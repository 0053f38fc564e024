package org.vanilladale.core.stream

import org.vanilladale.schema.Answer
import org.vanilladale.schema.Frame

/**
 * Queue of the frames of one request that wait to be written to its caller.
 *
 * Consecutive pieces of an answer are merged into one frame, so that a slow caller gets them in one
 * write. Not thread-safe.
 *
 * @param maximumLength maximum length of the waiting text in UTF-16 code units. A single piece may
 * be longer if no other text is waiting.
 */
public class WaitingFrames(
    private val maximumLength: Int = AnswerAssembler.DEFAULT_MAXIMUM_LENGTH,
) {
    private val frames = ArrayDeque<Frame>()

    // Text that continues the last frame. Joining strings would copy all text for each token.
    private val continuation = StringBuilder()
    private var length = 0

    /** Adds [frame] and returns true, or returns false if the queue is full. */
    public fun offer(frame: Frame): Boolean {
        if (frame !is Answer) return frames.size < MAXIMUM_FRAMES && add(frame)
        if (length > 0 && length + frame.text.length > maximumLength) return false
        if (continuesLast(frame)) {
            continuation.append(frame.text)
        } else if (frames.size >= MAXIMUM_FRAMES || !add(frame)) {
            return false
        }
        length += frame.text.length
        return true
    }

    /** Removes and returns the first frame, or returns null if there is none. */
    public fun pollOrNull(): Frame? {
        if (frames.size == 1) joinContinuation()
        val frame = frames.removeFirstOrNull()
        if (frame is Answer) length -= frame.text.length
        return frame
    }

    private fun add(frame: Frame): Boolean {
        joinContinuation()
        return frames.add(frame)
    }

    private fun continuesLast(frame: Answer): Boolean {
        val last = frames.lastOrNull() as? Answer ?: return false
        return last.request == frame.request && last.attempt == frame.attempt &&
            last.offset + last.text.length + continuation.length == frame.offset
    }

    private fun joinContinuation() {
        if (continuation.isEmpty()) return
        val last = frames.removeLast() as Answer
        frames += last.copy(text = last.text + continuation)
        // Without trimming, the buffer would keep the memory of the longest text so far.
        continuation.setLength(0)
        continuation.trimToSize()
    }

    private companion object {
        /**
         * Maximum number of frames after merging. An attempt has one or two frames besides the
         * pieces that are merged.
         */
        const val MAXIMUM_FRAMES = 4096
    }
}
