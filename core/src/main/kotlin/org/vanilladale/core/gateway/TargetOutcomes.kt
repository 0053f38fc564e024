package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Outcomes of the own attempts at each target. Keep it under a lock.
 *
 * Health answers can be wrong, so only what requests met counts. A failure counts for
 * [FAILURE_LIFETIME_MILLISECONDS]; a target that can't be reached gets nothing for a while that
 * doubles with each failure in a row.
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

    /** Targets with failures or gaps that still count. */
    public fun activeTargets(now: Timestamp): Set<TargetId> {
        rows.values.removeIf { it.isForgotten(now) }
        return rows.keys
    }

    /** Counts an answer that the target completed. */
    public fun recordSuccess(target: TargetId) {
        rows[target]?.let {
            it.consecutiveUnreachable = 0
            it.avoidUntil = null
        }
    }

    /** Counts a failed attempt. */
    public fun recordFailure(target: TargetId, now: Timestamp) {
        rows.getOrPut(target) { Row() }.failures += now.deadlineAfter(FAILURE_LIFETIME_MILLISECONDS)
    }

    /** Counts an attempt that could not reach the target, and avoids it for a while. */
    public fun recordUnreachable(target: TargetId, now: Timestamp) {
        recordFailure(target, now)
        val row = rows.getValue(target)
        val wait = MIN_AVOID_MILLISECONDS shl row.consecutiveUnreachable.coerceAtMost(MAX_DOUBLINGS)
        row.consecutiveUnreachable++
        row.avoidUntil = now.deadlineAfter(wait)
    }

    /** Takes the time between two events of a stream of [target]. */
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

    /** Returns the failures of [target] that still count. */
    public fun failures(target: TargetId, now: Timestamp): Int = rows[target]?.count(now) ?: 0

    /** Returns the smoothed gap at [target], or null without a recent one. */
    public fun gapOrNull(target: TargetId, now: Timestamp): Double? =
        rows[target]?.takeIf { it.gapUntil?.hasPassed(now) == false }?.gapMilliseconds

    /** Returns true while [target] can't be reached. */
    public fun isAvoided(target: TargetId, now: Timestamp): Boolean =
        rows[target]?.avoidUntil?.hasPassed(now) == false

    /** Drops what is known of [target], as after its restart. */
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
        /** Long enough for a few attempts at each target, short beside a replacement. */
        public const val FAILURE_LIFETIME_MILLISECONDS: Long = 3_000

        /** A gap says nothing about a group whose load has changed since. */
        public const val GAP_LIFETIME_MILLISECONDS: Long = 1_000

        /** First wait after a target could not be reached. */
        public const val MIN_AVOID_MILLISECONDS: Long = 250

        private const val MAX_DOUBLINGS = 3
        private const val NEW_GAP_WEIGHT = 0.3
    }
}
