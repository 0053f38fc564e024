package org.vanilladale.entry

import kotlinx.serialization.json.Json
import org.vanilladale.core.explain.explainRoute
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.schema.ExplainReport
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.RequestKind
import org.vanilladale.schema.TargetReport

/** Operator page that explains where this entry would send a request. */
internal class ExplainPage(
    private val configuration: ConfigurationHolder,
    private val fleet: TargetFleet,
    private val links: AgentLinks,
    private val router: TargetRouter,
) {
    /** Returns the report as JSON; the parameter `kind` names the kind of request. */
    fun text(parameters: Map<String, String>): String {
        val kind = RequestKind.parseOrNull(parameters["kind"].orEmpty()) ?: UNNAMED
        val report = explainRoute(configuration.current, kind, ::describe)
        return Json.encodeToString(ExplainReport.serializer(), report)
    }

    private fun describe(pool: Pool, target: PoolTarget): TargetReport = when {
        target.target !in fleet.targetsOf(pool.name) -> report(target, "unused")
        links.linkOrNull(target.target)?.connection == null -> report(target, "unconnected")
        else -> router.describe(pool.name, target)
    }

    private fun report(target: PoolTarget, state: String) =
        TargetReport(target.target, target.dataCentre, state)

    private companion object {
        val UNNAMED = RequestKind.parse("none")
    }
}
