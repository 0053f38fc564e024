package org.vanilladale.core.admission

import java.util.concurrent.atomic.AtomicLong

/**
 * Memory in bytes that all buffered data of one kind may use together. Thread-safe.
 *
 * Each answer has a limit of its own, but a few hundred answers within it would fill the memory of
 * a small VM. An owner that gets no share has to give up what it buffers; the others go on.
 */
public class BufferBudget(private val limitBytes: Long) {
    private val usedBytes = AtomicLong()

    /** Bytes that are in use. */
    public val used: Long get() = usedBytes.get()

    /** Takes [bytes] and returns true, or returns false if that would exceed the limit. */
    public fun tryTake(bytes: Long): Boolean {
        if (usedBytes.addAndGet(bytes) <= limitBytes) return true
        usedBytes.addAndGet(-bytes)
        return false
    }

    /** Returns [bytes] that were taken. */
    public fun release(bytes: Long) {
        check(usedBytes.addAndGet(-bytes) >= 0) { "More bytes released than taken" }
    }
}
