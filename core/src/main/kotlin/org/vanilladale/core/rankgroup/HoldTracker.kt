package org.vanilladale.core.rankgroup

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/**
 * Tracks from the reports of the ranks how long they have been holding at a switch step.
 *
 * A report is valid for [reportValidityMilliseconds] only. A rank sends its reports only to the
 * lowest ranks that it is connected to, so it may report a hold to this agent and the end of it to
 * others.
 */
public class HoldTracker(private val reportValidityMilliseconds: Long) {
    private class Hold(val since: Timestamp, val validUntil: Deadline)

    private val holds = mutableMapOf<Rank, Hold>()

    /** Records whether [rank] is holding at [now]. */
    public fun report(rank: Rank, holding: Boolean, now: Timestamp) {
        if (!holding) {
            holds.remove(rank)
            return
        }
        val since = holds[rank]?.takeIf { !it.validUntil.hasPassed(now) }?.since ?: now
        holds[rank] = Hold(since, now.deadlineAfter(reportValidityMilliseconds))
    }

    /** Returns the longest time for which any rank has been holding, or 0 if none is. */
    public fun longestMilliseconds(now: Timestamp): Long =
        holds.values.filter { !it.validUntil.hasPassed(now) }
            .maxOfOrNull { now.millisecondsSince(it.since) } ?: 0

    /**
     * Forgets all holds, so that they are counted from the next reports on. Called after an attempt
     * to finish the switch.
     */
    public fun restart() {
        holds.clear()
    }
}
