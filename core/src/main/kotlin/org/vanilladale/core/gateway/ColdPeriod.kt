package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Decides how long a target counts as cold, after its start and after the evacuation of its data
 * centre, when many targets return to service at the same time.
 */
public object ColdPeriod {
    /**
     * Returns the end of the cold period of [target], or null if it is not cold at [now].
     *
     * The time that the target itself states counts, and the one that follows from its start and
     * the [profile] of its pool. After an evacuation the target may have become cold unnoticed, so
     * it counts as cold from the end of the evacuation as well.
     *
     * @param evacuationEnd end of the latest evacuation of the target's data centre, or null
     */
    public fun endOrNull(
        target: KnownTarget,
        profile: ColdProfile,
        evacuationEnd: Timestamp?,
        now: Timestamp,
    ): Deadline? {
        // The clock of a target that starts much later than now is wrong.
        val startedAt = target.startedAt
            ?.takeIf { it.millisecondsSince(now) <= profile.coldMilliseconds }
        val ends = listOfNotNull(startedAt, evacuationEnd)
            .map { it.deadlineAfter(profile.coldMilliseconds) } + listOfNotNull(target.coldUntil)
        return ends.maxOrNull()?.takeUnless { it.hasPassed(now) }
    }
}
