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
    private val last = HashMap<Pair<PoolName, TargetId>, TargetRollout>()

    /** Takes [report] and returns what was new in it, or null. */
    public fun newsOrNull(report: RolloutReport): RolloutReport? {
        val news = report.targets.filter { statement ->
            val key = report.pool to statement.target
            val held = last[key]
            (held == null || statement.statedAt > held.statedAt).also { isNew ->
                if (isNew) last[key] = statement
            }
        }
        return if (news.isEmpty()) null else report.copy(targets = news)
    }

    /** Forgets [target], as after its restart, when its clock may be behind. */
    public fun forget(target: TargetId) {
        last.keys.removeAll { it.second == target }
    }
}
