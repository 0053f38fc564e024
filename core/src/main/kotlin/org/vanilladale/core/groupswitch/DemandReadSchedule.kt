package org.vanilladale.core.groupswitch

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Decides when the counts of a pool's ranks are read; answers shifts of the demand at the least
 * cost.
 *
 * Each read of counts is priced and pauses a group, but the pauses between the events of its
 * streams tell for nothing whether a group is slow. So counts are read while some group is slow,
 * and less often when that led to no better map: the cause is another one then.
 */
public class DemandReadSchedule(now: Timestamp) {
    private var nextReadAt: Deadline = now.deadlineAfter(0)

    /**
     * Returns true when counts are to be read at a [slowdown] of the slowest group, or because the
     * demand of the streams that run is not known at all.
     */
    public fun isDue(slowdown: Double, isDemandKnown: Boolean, now: Timestamp): Boolean =
        (slowdown >= SLOWDOWN_THRESHOLD || !isDemandKnown) && nextReadAt.hasPassed(now)

    /** Notes that counts were read, and whether they led to a [foundBetterMap]. */
    public fun recordRead(foundBetterMap: Boolean, now: Timestamp) {
        nextReadAt =
            now.deadlineAfter(
                if (foundBetterMap) SWITCH_WAIT_MILLISECONDS else NO_SWITCH_WAIT_MILLISECONDS,
            )
    }

    public companion object {
        /** Passes over the modelled ones; reading prompts makes up to a fifth. */
        public const val SLOWDOWN_THRESHOLD: Double = 1.25

        /** Until a switch that follows has shown in the pauses of streams. */
        public const val SWITCH_WAIT_MILLISECONDS: Long = 1_000

        /** Wait after counts that led to no better map. */
        public const val NO_SWITCH_WAIT_MILLISECONDS: Long = 800
    }
}
