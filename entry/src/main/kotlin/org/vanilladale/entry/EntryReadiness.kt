package org.vanilladale.entry

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Determines when a starting entry can serve callers: once it has tables and is connected to all
 * its targets or has waited for them for [CONNECT_MILLISECONDS]. An entry that is ready remains
 * ready. This class is not thread-safe.
 *
 * @param hasTables returns true if a configuration revision is active
 * @param isConnected returns true if every target of the subset has a connection
 */
internal class EntryReadiness(
    private val hasTables: () -> Boolean,
    private val isConnected: () -> Boolean,
) {
    private var connectBy: Deadline? = null
    private var ready = false

    /** Returns true once the entry can serve callers. */
    fun check(now: Timestamp): Boolean {
        if (ready || !hasTables()) return ready
        val deadline = connectBy ?: now.deadlineAfter(CONNECT_MILLISECONDS).also { connectBy = it }
        ready = isConnected() || deadline.hasPassed(now)
        return ready
    }

    private companion object {
        /** One dial takes up to 2 s. A slower target must not delay the start of the entry. */
        const val CONNECT_MILLISECONDS = 2_000L
    }
}
