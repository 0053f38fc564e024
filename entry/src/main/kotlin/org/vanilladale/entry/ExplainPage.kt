package org.vanilladale.entry

import kotlinx.serialization.json.Json
import org.vanilladale.core.explain.explainRoute
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.schema.ExplainReport
import org.vanilladale.schema.RequestKind

/** Operator page that reports where this entry would send a request. */
internal class ExplainPage(
    private val configuration: ConfigurationHolder,
    private val targets: TargetReports,
) {
    /** Returns the report as JSON for the request kind in the parameter `kind`. */
    fun text(parameters: Map<String, String>): String {
        val kind = RequestKind.parseOrNull(parameters["kind"].orEmpty()) ?: DEFAULT_KIND
        val report = explainRoute(configuration.current, kind, targets::describe)
        return Json.encodeToString(ExplainReport.serializer(), report)
    }

    private companion object {
        val DEFAULT_KIND = RequestKind.parse("none")
    }
}
