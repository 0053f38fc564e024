package org.vanilladale.runtime

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Log of structured lines that never blocks its callers.
 *
 * Lines wait in a bounded queue for one thread that writes them. A line that finds the queue full
 * is dropped, and [onDrop] is told.
 *
 * @param write writes one line; it may block
 */
public class EventLog(
    private val write: (String) -> Unit,
    private val onDrop: () -> Unit,
    capacity: Int = DEFAULT_CAPACITY,
) {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()

    /** Number of lines that were dropped so far. */
    public val dropped: Long get() = droppedLines.get()

    init {
        thread(isDaemon = true, name = "event-log") {
            while (true) write(lines.take())
        }
    }

    /** Queues [line], or drops it when the reader of the log is too slow. */
    public fun log(line: String) {
        if (lines.offer(line)) return
        droppedLines.incrementAndGet()
        onDrop()
    }

    /** Writes what waits; for the end of the process. */
    public fun flush() {
        while (true) write(lines.poll() ?: return)
    }

    public companion object {
        /** About a megabyte of lines: some seconds of a busy entry. */
        public const val DEFAULT_CAPACITY: Int = 4_096
    }
}
