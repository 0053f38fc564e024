package org.vanilladale.core.membership

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * State of the planned stop of this process. The process announces the stop, then refuses new work,
 * and then waits for the requests in flight. Immutable.
 */
public sealed interface LeavingState {
    /** Returns whether new work is refused at [now]. */
    public fun refusesNewWork(now: Timestamp): Boolean

    /**
     * Returns whether a request is accepted although it may last.
     *
     * @param receivedAt time at which its head or, once it is complete, its body was received
     * @param likelyEnd estimated time of its answer; null if unknown
     * @param latestEnd time at which it is given up
     */
    public fun accepts(receivedAt: Timestamp, likelyEnd: Deadline?, latestEnd: Deadline): Boolean

    /** Returns whether the process may stop while [inFlight] requests are in flight. */
    public fun isDrained(inFlight: Int, now: Timestamp): Boolean

    /** No stop is planned, and the process accepts all work. */
    public data object Serving : LeavingState {
        override fun refusesNewWork(now: Timestamp): Boolean = false

        override fun accepts(
            receivedAt: Timestamp,
            likelyEnd: Deadline?,
            latestEnd: Deadline,
        ): Boolean = true

        override fun isDrained(inFlight: Int, now: Timestamp): Boolean = false

        /**
         * Starts the planned stop.
         *
         * @param noticeMilliseconds time for the announcement to reach all peers
         * @param drainMilliseconds time after that for which requests in flight may continue
         */
        public fun announce(
            vm: VmId,
            now: Timestamp,
            noticeMilliseconds: Long,
            drainMilliseconds: Long,
        ): Announced {
            val leavingAt = now.epochMilliseconds + noticeMilliseconds
            return Announced(
                Leaving(vm, Timestamp.fromEpochMilliseconds(leavingAt)),
                Deadline.fromEpochMilliseconds(leavingAt + drainMilliseconds),
            )
        }
    }

    /** The stop is announced; [frame] is sent to every peer at once and on each new connection. */
    public data class Announced(val frame: Leaving, val drainDeadline: Deadline) : LeavingState {
        override fun refusesNewWork(now: Timestamp): Boolean = now >= frame.leavingAt

        /**
         * Until [Leaving.leavingAt], callers may not know another process, and a request that
         * arrives is accepted if it is likely to end by the drain deadline. One that arrives later
         * has to end by then for certain.
         */
        override fun accepts(
            receivedAt: Timestamp,
            likelyEnd: Deadline?,
            latestEnd: Deadline,
        ): Boolean {
            val end = if (likelyEnd == null || refusesNewWork(receivedAt)) {
                latestEnd
            } else {
                minOf(likelyEnd, latestEnd)
            }
            return end <= drainDeadline
        }

        override fun isDrained(inFlight: Int, now: Timestamp): Boolean =
            refusesNewWork(now) && (inFlight == 0 || drainDeadline.hasPassed(now))
    }
}
