package org.vanilladale.core.rollout

import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout

/**
 * Filters the progress reports that an entry forwards.
 *
 * For each target, a report is forwarded only if it is newer than the last one, so that copies that
 * arrive over several paths aren't forwarded endlessly.
 *
 * This class is not thread-safe and must be guarded by a lock.
 */
public class RolloutRelay {
    private val latest = HashMap<Pair<PoolName, TargetId>, TargetRollout>()

    /** Records [report] and returns the part of it that is new, or null if nothing is new. */
    public fun newProgressOrNull(report: RolloutReport): RolloutReport? {
        val newProgress = report.targets.filter { progress ->
            val key = report.pool to progress.target
            val previous = latest[key]
            (previous == null || progress.statedAt > previous.statedAt).also { isNew ->
                if (isNew) latest[key] = progress
            }
        }
        return if (newProgress.isEmpty()) null else report.copy(targets = newProgress)
    }

    /**
     * Removes the progress of [target]. This is necessary after a restart of the target, because
     * its clock may then be behind the times in its previous reports.
     */
    public fun forget(target: TargetId) {
        latest.keys.removeAll { it.second == target }
    }
}
