package org.vanilladale.entry

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Whether a starting entry can serve callers: it has tables, and connections to its targets or has
 * waited for them. Once ready it stays so. Call it from one thread.
 *
 * @param hasTables true when a revision is in force
 * @param isConnected true when each target of the subset has a connection
 */
internal class EntryReadiness(
    private val hasTables: () -> Boolean,
    private val isConnected: () -> Boolean,
) {
    private var connectBy: Deadline? = null
    private var ready = false

    /** Returns true from the first call on at which the entry can serve. */
    fun check(now: Timestamp): Boolean {
        if (ready || !hasTables()) return ready
        val deadline = connectBy ?: now.deadlineAfter(CONNECT_MILLISECONDS).also { connectBy = it }
        ready = isConnected() || deadline.hasPassed(now)
        return ready
    }

    private companion object {
        /** A dial of 2 s; a target that takes longer must not keep the entry from serving. */
        const val CONNECT_MILLISECONDS = 2_000L
    }
}
