package org.vanilladale.core.membership

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/** Planned stop of this process: announce, refuse new work, drain. Immutable. */
public sealed interface LeavingState {
    /** Returns true when new work is refused at [now]. */
    public fun refusesNewWork(now: Timestamp): Boolean

    /** Returns true when the process may stop. */
    public fun isDrained(inFlight: Int, now: Timestamp): Boolean

    /** Takes all work. */
    public data object Serving : LeavingState {
        override fun refusesNewWork(now: Timestamp): Boolean = false

        override fun isDrained(inFlight: Int, now: Timestamp): Boolean = false

        /**
         * Starts the planned stop. [noticeMilliseconds] is the time that peers have to hear of it;
         * requests in flight may run for [drainMilliseconds] from then on.
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

    /** The [frame] goes to every peer, at once and on each new connection. */
    public data class Announced(val frame: Leaving, val drainDeadline: Deadline) : LeavingState {
        override fun refusesNewWork(now: Timestamp): Boolean = now >= frame.leavingAt

        override fun isDrained(inFlight: Int, now: Timestamp): Boolean =
            refusesNewWork(now) && (inFlight == 0 || drainDeadline.hasPassed(now))
    }
}
