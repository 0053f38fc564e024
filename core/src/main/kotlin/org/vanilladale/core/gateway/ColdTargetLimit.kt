package org.vanilladale.core.gateway

import kotlin.math.ceil
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Limits the rate of requests that this entry sends to the cold targets that it owns. Not
 * thread-safe; callers synchronize access.
 *
 * The owner uses [OWNER_SHARE] of the rate that a cold target tolerates. While the entries disagree
 * on who is alive, a target can have two owners for a moment, and three after overlapping failures.
 */
public class ColdTargetLimit {
    /**
     * Time at which the next request of each target would be due if all were evenly spaced. A
     * request may be early by the spacing of [BURST] requests.
     */
    private val due = LinkedHashMap<TargetId, Deadline>()

    /** Returns whether [target] may get a request at [now]. */
    public fun allows(target: TargetId, profile: ColdProfile, now: Timestamp): Boolean =
        openingOf(target, profile)?.hasPassed(now) != false

    /** Returns the time from which [target] may get a request again, or null if it may now. */
    public fun openingOrNull(target: TargetId, profile: ColdProfile, now: Timestamp): Deadline? =
        openingOf(target, profile)?.takeUnless { it.hasPassed(now) }

    /** Records that [target] gets a request at [now]. */
    public fun recordSend(target: TargetId, profile: ColdProfile, now: Timestamp) {
        val start = maxOf(due.remove(target) ?: now.deadlineAfter(0), now.deadlineAfter(0))
        due[target] =
            Deadline.fromEpochMilliseconds(start.epochMilliseconds + spacing(profile))
        if (due.size > MAX_ROWS) due.remove(due.keys.first())
    }

    private fun openingOf(target: TargetId, profile: ColdProfile): Deadline? = due[target]?.let {
        Deadline.fromEpochMilliseconds(it.epochMilliseconds - (BURST - 1) * spacing(profile))
    }

    private fun spacing(profile: ColdProfile): Long =
        ceil(MILLISECONDS_PER_SECOND / (profile.requestsPerSecond * OWNER_SHARE)).toLong()

    public companion object {
        /** Share of the tolerated rate that one owner uses. */
        public const val OWNER_SHARE: Double = 0.5

        /** Number of requests that may follow each other without a pause. */
        private const val BURST = 2
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Bounds the memory; several times the targets of the largest fleet. */
        private const val MAX_ROWS = 4_096
    }
}
