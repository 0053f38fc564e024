package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Priorities of the requests that a pool has received lately. Not thread-safe; callers synchronize
 * access.
 *
 * While requests of several priorities compete for a pool under overload, the most urgent ones
 * should be served first. A pool with one priority has no such order.
 */
public class PriorityMix {
    private val seenUntil = arrayOfNulls<Deadline>(PRIORITIES)

    /** Records a request of [priority], where 0 is the most urgent. */
    public fun record(priority: Int, now: Timestamp) {
        seenUntil[levelOf(priority)] = now.deadlineAfter(LIFETIME_MILLISECONDS)
    }

    /** Returns whether requests of at least two priorities have been seen lately. */
    public fun isMixed(now: Timestamp): Boolean =
        seenUntil.count { it?.hasPassed(now) == false } > 1

    /** Returns whether no request that is more urgent than [priority] has been seen lately. */
    public fun isMostUrgent(priority: Int, now: Timestamp): Boolean =
        (0 until levelOf(priority)).none { seenUntil[it]?.hasPassed(now) == false }

    public companion object {
        /** Number of priorities; requests with a higher number have the last one. */
        public const val PRIORITIES: Int = 10

        /** Priority that no request is less urgent than. */
        public const val LEAST_URGENT: Int = PRIORITIES - 1

        /** Returns [priority] as one of the [PRIORITIES] levels. */
        public fun levelOf(priority: Int): Int = priority.coerceIn(0, LEAST_URGENT)

        /** Kinds of request that arrive less than once in this time share a pool in name only. */
        private const val LIFETIME_MILLISECONDS = 10_000L
    }
}
