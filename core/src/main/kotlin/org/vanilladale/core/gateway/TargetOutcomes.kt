package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Outcomes of this entry's attempts at each target. Not thread-safe; callers synchronize access.
 *
 * Only the outcomes of requests count, because health checks can be wrong. A failure counts for
 * [FAILURE_LIFETIME_MILLISECONDS]. A target that cannot be reached is avoided for a time that
 * doubles with each further attempt that does not reach it, up to a maximum.
 */
public class TargetOutcomes {
    private class Row {
        val failures = ArrayDeque<Deadline>(0)
        var consecutiveUnreachable = 0
        var avoidUntil: Deadline? = null
        var gapMilliseconds = 0.0
        var gapUntil: Deadline? = null
    }

    private val rows = HashMap<TargetId, Row>()

    /** Returns the targets with recent failures or gaps, or that are avoided. */
    public fun activeTargets(now: Timestamp): Set<TargetId> {
        rows.values.removeIf { it.isForgotten(now) }
        return rows.keys
    }

    /** Records an answer that [target] completed, and no longer avoids it. */
    public fun recordSuccess(target: TargetId) {
        rows[target]?.let {
            it.consecutiveUnreachable = 0
            it.avoidUntil = null
        }
    }

    /** Records a failed attempt at [target]. */
    public fun recordFailure(target: TargetId, now: Timestamp) {
        rows.getOrPut(target) { Row() }.failures += now.deadlineAfter(FAILURE_LIFETIME_MILLISECONDS)
    }

    /** Records an attempt that could not reach [target], and avoids the target for some time. */
    public fun recordUnreachable(target: TargetId, now: Timestamp) {
        recordFailure(target, now)
        val row = rows.getValue(target)
        val wait = MIN_AVOID_MILLISECONDS shl row.consecutiveUnreachable.coerceAtMost(MAX_DOUBLINGS)
        row.consecutiveUnreachable++
        row.avoidUntil = now.deadlineAfter(wait)
    }

    /** Records the gap between two consecutive events of a stream of [target]. */
    public fun recordGap(target: TargetId, milliseconds: Long, now: Timestamp) {
        val row = rows.getOrPut(target) { Row() }
        val fresh = row.gapUntil?.hasPassed(now) == false
        row.gapMilliseconds = if (fresh) {
            row.gapMilliseconds + NEW_GAP_WEIGHT * (milliseconds - row.gapMilliseconds)
        } else {
            milliseconds.toDouble()
        }
        row.gapUntil = now.deadlineAfter(GAP_LIFETIME_MILLISECONDS)
    }

    /** Returns the number of recent failures of [target]. */
    public fun failures(target: TargetId, now: Timestamp): Int = rows[target]?.count(now) ?: 0

    /** Returns the smoothed gap at [target] in milliseconds, or null without a recent gap. */
    public fun gapOrNull(target: TargetId, now: Timestamp): Double? =
        rows[target]?.takeIf { it.gapUntil?.hasPassed(now) == false }?.gapMilliseconds

    /** Returns the smoothed gaps in milliseconds at all targets with a recent one. */
    public fun gaps(now: Timestamp): List<Double> =
        rows.values.filter { it.gapUntil?.hasPassed(now) == false }.map { it.gapMilliseconds }

    /** Returns whether [target] is avoided because it could not be reached. */
    public fun isAvoided(target: TargetId, now: Timestamp): Boolean =
        rows[target]?.avoidUntil?.hasPassed(now) == false

    /** Removes all outcomes of [target], for example after its restart. */
    public fun forget(target: TargetId) {
        rows.remove(target)
    }

    private fun Row.count(now: Timestamp): Int {
        while (failures.isNotEmpty() && failures.first().hasPassed(now)) failures.removeFirst()
        return failures.size
    }

    private fun Row.isForgotten(now: Timestamp): Boolean =
        count(now) == 0 && gapUntil?.hasPassed(now) != false && avoidUntil?.hasPassed(now) != false

    public companion object {
        /**
         * Time for which a failure counts. It is long enough for a few attempts at each target, and
         * shorter than the replacement of a target.
         */
        public const val FAILURE_LIFETIME_MILLISECONDS: Long = 3_000

        /**
         * Time for which a gap counts; an older gap does not reflect the current load of a group.
         */
        public const val GAP_LIFETIME_MILLISECONDS: Long = 1_000

        /** Time for which a target is avoided after the first attempt that could not reach it. */
        public const val MIN_AVOID_MILLISECONDS: Long = 250

        private const val MAX_DOUBLINGS = 3

        /** Half, so that a shift of the demand shows after one slow pass. */
        private const val NEW_GAP_WEIGHT = 0.5
    }
}
