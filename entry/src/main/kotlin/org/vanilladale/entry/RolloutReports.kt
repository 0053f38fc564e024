package org.vanilladale.entry

import org.vanilladale.core.rollout.RolloutRelay
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.TargetId

/** Forwards the rollout reports of agents to the other agents of their pool. */
internal class RolloutReports(private val fleet: TargetFleet, private val links: AgentLinks) {
    private val relay = RolloutRelay()

    /** Forwards the new progress in [report], which was received from [sender]. */
    fun onReport(sender: TargetId, report: RolloutReport) {
        val targets = fleet.targetsOf(report.pool)
        // Other entries forward reports of targets that are not in the subset of this entry.
        if (sender !in targets) return
        val changed = synchronized(relay) { relay.newProgressOrNull(report) } ?: return
        targets.filter { it != sender }
            .forEach { links.linkOrNull(it)?.connection?.trySend(changed) }
    }

    /** Forgets the reports that [target] sent before its agent restarted. */
    fun forget(target: TargetId) {
        synchronized(relay) { relay.forget(target) }
    }
}
