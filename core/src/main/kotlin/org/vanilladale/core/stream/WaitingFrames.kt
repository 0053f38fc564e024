package org.vanilladale.core.stream

import org.vanilladale.schema.Answer
import org.vanilladale.schema.Frame

/**
 * Frames of one request that wait until its caller takes them.
 *
 * Answers that continue one another wait as one, so that a caller that is behind gets all of them
 * in one write. Not for concurrent use.
 *
 * @param maximumLength longest waiting text in UTF-16 code units; a single longer answer may wait
 */
public class WaitingFrames(
    private val maximumLength: Int = AnswerAssembler.DEFAULT_MAXIMUM_LENGTH,
) {
    private val frames = ArrayDeque<Frame>()

    // Text that continues the last frame; a string for each token would cost a copy of all others.
    private val continuation = StringBuilder()
    private var length = 0

    /** Adds [frame]; returns false and adds nothing when too much waits already. */
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

    /** Takes the first frame, or returns null without any. */
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
        // Without the trim the buffer would keep the memory of the longest wait.
        continuation.setLength(0)
        continuation.trimToSize()
    }

    private companion object {
        /** Frames of other kinds than continued answers; an attempt has one or two. */
        const val MAXIMUM_FRAMES = 4096
    }
}
