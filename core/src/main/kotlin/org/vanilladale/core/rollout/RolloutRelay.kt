package org.vanilladale.core.rollout

import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.TargetRollout

/**
 * Statements that one entry has passed on. Not thread-safe; keep it under a lock.
 *
 * Only a later statement of a target is passed on, so that copies over several ways end.
 */
public class RolloutRelay {
    private val latest = HashMap<Pair<PoolName, TargetId>, TargetRollout>()

    /** Takes [report] and returns what was new in it, or null. */
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

    /** Forgets [target], as after its restart, when its clock may be behind. */
    public fun forget(target: TargetId) {
        latest.keys.removeAll { it.second == target }
    }
}
