package org.vanilladale.bench.rollout

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** Weight store with a limit on the reads that start within a minute, over all readers. */
internal class ModelledStore(private val readsPerMinute: Int) {
    private val started = ArrayDeque<Long>()

    var running = 0
        private set
    var mostRunning = 0
        private set
    var refused = 0
        private set

    /** Starts a read and returns null, or returns the time to try again. */
    fun refusalOrNull(now: Timestamp): Deadline? {
        val at = now.epochMilliseconds
        while (started.isNotEmpty() && started.first() <= at - MINUTE) started.removeFirst()
        if (started.size >= readsPerMinute) {
            refused++
            return Deadline.fromEpochMilliseconds(started.first() + MINUTE)
        }
        started.addLast(at)
        running++
        mostRunning = maxOf(mostRunning, running)
        return null
    }

    fun ended() {
        running--
    }

    private companion object {
        const val MINUTE = 60_000L
    }
}
