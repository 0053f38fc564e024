package org.vanilladale.bench.routing

import java.util.PriorityQueue
import org.vanilladale.schema.Timestamp

/** Event queue; events of the same time run in the order in which they were added. */
internal class VirtualTime {
    private class Event(val at: Long, val number: Long, val run: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var added = 0L

    var microseconds = 0L
        private set

    val now: Timestamp
        get() = Timestamp.fromEpochMilliseconds(microseconds / MICROSECONDS_PER_MILLISECOND)

    fun after(delayMicroseconds: Long, run: () -> Unit) {
        events += Event(microseconds + delayMicroseconds, added++, run)
    }

    fun runUntil(end: Long) {
        while (true) {
            val event = events.peek()?.takeIf { it.at < end } ?: return
            events.remove()
            microseconds = event.at
            event.run()
        }
    }

    companion object {
        const val MICROSECONDS_PER_MILLISECOND = 1_000L
    }
}
