package org.vanilladale.entry

import org.vanilladale.core.rollout.RolloutRelay
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.TargetId

/** Passes what agents state about their rollout on to the other agents of the pool. */
internal class RolloutReports(private val fleet: TargetFleet, private val links: AgentLinks) {
    private val relay = RolloutRelay()

    /** Takes [report], which came from [sender]. */
    fun onReport(sender: TargetId, report: RolloutReport) {
        val targets = fleet.targetsOf(report.pool)
        // The agents of a pool that this entry does not use hear it from other entries.
        if (sender !in targets) return
        val changed = synchronized(relay) { relay.newProgressOrNull(report) } ?: return
        targets.filter { it != sender }
            .forEach { links.linkOrNull(it)?.connection?.trySend(changed) }
    }

    /** Forgets what [target] stated before its agent restarted. */
    fun forget(target: TargetId) {
        synchronized(relay) { relay.forget(target) }
    }
}
