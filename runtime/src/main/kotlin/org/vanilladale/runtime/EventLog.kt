package org.vanilladale.runtime

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

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
    /** What the thread does in turn: writes lines, and tells [flush] how far it has come. */
    private val steps = ArrayBlockingQueue<() -> Unit>(capacity)
    private val droppedLines = AtomicLong()

    /** Number of lines that were dropped so far. */
    public val dropped: Long get() = droppedLines.get()

    init {
        thread(isDaemon = true, name = "event-log") {
            while (true) steps.take()()
        }
    }

    /** Queues [line], or drops it when the reader of the log is too slow. */
    public fun log(line: String) {
        if (steps.offer { write(line) }) return
        droppedLines.incrementAndGet()
        onDrop()
    }

    /**
     * Waits until all lines queued so far are written; for the end of the process. Returns false if
     * [deadline] passes before, as it does when the reader of the log has stopped.
     */
    public fun flush(deadline: Deadline, clock: () -> Timestamp): Boolean {
        val isWritten = CountDownLatch(1)
        val isQueued =
            steps.offer(isWritten::countDown, deadline.millisecondsLeft(clock()), MILLISECONDS)
        return isQueued && isWritten.await(deadline.millisecondsLeft(clock()), MILLISECONDS)
    }

    public companion object {
        /** About a megabyte of lines: some seconds of a busy entry. */
        public const val DEFAULT_CAPACITY: Int = 4_096
    }
}
