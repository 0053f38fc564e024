package org.vanilladale.entry

import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolReport
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetReport

/** Reports the state of targets, as seen by this entry, to operators. */
internal class TargetReports(
    private val fleet: TargetFleet,
    private val links: AgentLinks,
    private val router: TargetRouter,
) {
    /** Returns the state of [target] in [pool]. */
    fun describe(pool: Pool, target: PoolTarget): TargetReport {
        val connected = links.linkOrNull(target.target)?.connection != null
        val routed = router.describe(pool.name, target).copy(connected = connected)
        return when {
            target.target !in fleet.targetsOf(pool.name) -> routed.copy(state = UNUSED, load = null)

            // A target is marked unavailable only after a redial has failed, so that state is kept.
            !connected && routed.state != UNAVAILABLE -> routed.copy(state = UNCONNECTED)

            else -> routed
        }
    }

    /** Returns the states of all targets of [pool]. */
    fun describe(pool: Pool): PoolReport =
        PoolReport(pool.name, pool.targets.map { describe(pool, it) })

    private companion object {
        const val UNUSED = "unused"
        const val UNCONNECTED = "unconnected"
        const val UNAVAILABLE = "unavailable"
    }
}
