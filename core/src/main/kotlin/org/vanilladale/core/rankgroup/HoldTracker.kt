package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/**
 * Sees from the reports of the ranks how long a rank has been holding at a switch step.
 *
 * A report counts for [reportValidityMilliseconds] only: a rank may report its hold to this agent and the
 * end of it to others, because it sends reports only to the lowest ranks that it is connected to.
 */
public class HoldTracker(private val reportValidityMilliseconds: Long) {
    private class Hold(val since: Timestamp, val validUntil: Deadline)

    private val holds = mutableMapOf<Rank, Hold>()

    /** Takes the report of [rank]. */
    public fun report(rank: Rank, holding: Boolean, now: Timestamp) {
        if (!holding) {
            holds.remove(rank)
            return
        }
        val since = holds[rank]?.takeIf { !it.validUntil.hasPassed(now) }?.since ?: now
        holds[rank] = Hold(since, now.deadlineAfter(reportValidityMilliseconds))
    }

    /** Returns the time for which a rank has been holding, the longest of all; 0 when none does. */
    public fun longestMilliseconds(now: Timestamp): Long =
        holds.values.filter { !it.validUntil.hasPassed(now) }
            .maxOfOrNull { now.millisecondsSince(it.since) } ?: 0

    /** Counts all holds from the next reports on, as after a try to finish the switch. */
    public fun restart() {
        holds.clear()
    }
}
