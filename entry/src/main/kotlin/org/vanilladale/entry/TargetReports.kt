package org.vanilladale.entry

import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolReport
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetReport

/** Describes targets for operators as this entry sees them. */
internal class TargetReports(
    private val fleet: TargetFleet,
    private val links: AgentLinks,
    private val router: TargetRouter,
) {
    /** Returns the state of [target] in [pool]. */
    fun describe(pool: Pool, target: PoolTarget): TargetReport {
        val connected = links.linkOrNull(target.target)?.connection != null
        return when {
            target.target !in fleet.targetsOf(pool.name) -> report(target, connected, "unused")
            !connected -> report(target, connected = false, "unconnected")
            else -> router.describe(pool.name, target)
        }
    }

    /** Returns the states of all targets of [pool]. */
    fun describe(pool: Pool): PoolReport =
        PoolReport(pool.name, pool.targets.map { describe(pool, it) })

    private fun report(target: PoolTarget, connected: Boolean, state: String) =
        TargetReport(target.target, connected, target.dataCentre, state)
}
