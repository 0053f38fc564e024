package org.vanilladale.core.groupswitch

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Decides when to read the expert counts of a pool's ranks, so that shifts of the demand are
 * detected at low cost.
 *
 * Each read of the counts has a cost and pauses a group, whereas the gaps between the events of its
 * streams show at no cost whether it is slow. The counts are therefore read only while a group is
 * slow or the demand is unknown. After a read that led to no better map the next one is delayed,
 * because the group is then slow for a reason other than the demand.
 */
public class DemandReadSchedule(now: Timestamp) {
    private var nextReadAt: Deadline = now.deadlineAfter(0)

    /**
     * Returns true if the counts have to be read now.
     *
     * @param slowdown pass time of the slowest group relative to its modelled pass time
     * @param isDemandKnown whether any demand of the running streams is known
     */
    public fun isDue(slowdown: Double, isDemandKnown: Boolean, now: Timestamp): Boolean =
        (slowdown >= SLOWDOWN_THRESHOLD || !isDemandKnown) && nextReadAt.hasPassed(now)

    /** Records that the counts were read, and whether they led to a better map. */
    public fun recordRead(foundBetterMap: Boolean, now: Timestamp) {
        nextReadAt =
            now.deadlineAfter(
                if (foundBetterMap) SWITCH_WAIT_MILLISECONDS else NO_SWITCH_WAIT_MILLISECONDS,
            )
    }

    public companion object {
        /**
         * Ratio of the measured pass time to the modelled one from which a group counts as slow,
         * which is a skew of about 1.4. Maps that fit the demand stay below it.
         */
        public const val SLOWDOWN_THRESHOLD: Double = 1.21

        /** Time until the effect of a map switch shows in the gaps between stream events. */
        public const val SWITCH_WAIT_MILLISECONDS: Long = 1_000

        /** Wait after a read that led to no better map. */
        public const val NO_SWITCH_WAIT_MILLISECONDS: Long = 800
    }
}
