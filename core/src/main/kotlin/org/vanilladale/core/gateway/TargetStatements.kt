package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * What targets say of themselves in their answers to this entry: that they are leaving, or that
 * they want no requests for some time. Not thread-safe; callers synchronize access.
 *
 * A statement holds for one incarnation of a target, also while the store can't be read. Other
 * entries are not told, because a pause concerns the entry that was turned away, and the store
 * tells them of a target that is leaving.
 */
internal class TargetStatements {
    private class Row(val startedAt: Timestamp?) {
        var isLeaving = false
        var pauseEnd: Deadline? = null
        var recoveryEnd: Deadline? = null
    }

    private val rows = LinkedHashMap<TargetId, Row>()

    /** Records that [target] is leaving. Returns whether that is new. */
    fun recordLeaving(target: KnownTarget): Boolean {
        val row = rowOf(target)
        val isNew = !row.isLeaving
        row.isLeaving = true
        return isNew
    }

    /** Records that [target] wants no requests until [end]. */
    fun recordPause(target: KnownTarget, end: Deadline) {
        val row = rowOf(target)
        val pauseEnd = row.pauseEnd?.let { maxOf(it, end) } ?: end
        row.pauseEnd = pauseEnd
        row.recoveryEnd =
            Deadline.fromEpochMilliseconds(pauseEnd.epochMilliseconds + RECOVERY_MILLISECONDS)
    }

    /** Records that [target] has answered a request after its pause. */
    fun recordAnswer(target: KnownTarget, now: Timestamp) {
        val row = rowOrNull(target) ?: return
        if (row.pauseEnd?.hasPassed(now) == true) row.recoveryEnd = null
    }

    fun isLeaving(target: KnownTarget): Boolean = rowOrNull(target)?.isLeaving == true

    /** Returns the end of the pause of [target], or null if it takes requests. */
    fun pauseEndOrNull(target: KnownTarget, now: Timestamp): Deadline? =
        rowOrNull(target)?.pauseEnd?.takeUnless { it.hasPassed(now) }

    /** Returns whether a pause of [target] ended a short time ago without an answer since. */
    fun isRecovering(target: KnownTarget, now: Timestamp): Boolean =
        rowOrNull(target)?.recoveryEnd?.hasPassed(now) == false

    /**
     * Removes what [target] said, because the platform no longer lists it. The statements of a
     * target with a known start are kept, because its registration may only have lapsed.
     */
    fun targetRemoved(target: TargetId) {
        if (rows[target]?.startedAt == null) rows.remove(target)
    }

    private fun rowOrNull(target: KnownTarget): Row? =
        rows[target.id]?.takeIf { it.startedAt == target.startedAt }

    private fun rowOf(target: KnownTarget): Row = rowOrNull(target) ?: Row(target.startedAt).also {
        rows.remove(target.id)
        rows[target.id] = it
        if (rows.size > MAX_ROWS) rows.remove(rows.keys.first())
    }

    private companion object {
        /**
         * Time after a pause in which one request shows whether the target is well. A target that
         * doesn't answer for so long is found by the failures of its requests.
         */
        const val RECOVERY_MILLISECONDS = 1_000L

        /** Bounds the memory; several times the targets of the largest fleet. */
        const val MAX_ROWS = 4_096
    }
}
