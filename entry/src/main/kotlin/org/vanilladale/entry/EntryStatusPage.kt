package org.vanilladale.entry

import kotlinx.serialization.json.Json
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.ConfigurationSpread
import org.vanilladale.schema.EntryReport
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.Incarnation

/** Builds the page `/v1/status` of an entry. */
internal class EntryStatusPage(
    private val settings: EntrySettings,
    private val incarnation: Incarnation,
    private val configuration: ConfigurationHolder,
    private val spread: ConfigurationSpread,
    private val membership: EntryMembership,
    private val targets: TargetReports,
) {
    /** Returns the current [EntryReport] as JSON. */
    fun text(inFlight: Int, leaving: Boolean): String {
        val tables = configuration.current
        val states = membership.states
        val report = EntryReport(
            settings.vm,
            settings.dataCentre,
            states.firstOrNull { it.vm == settings.vm }?.incarnation ?: incarnation,
            inFlight,
            leaving,
            spread.peers,
            states,
            tables?.tables?.pools.orEmpty().map(targets::describe),
            tables?.revision,
            spread.digest,
        )
        return Json.encodeToString(EntryReport.serializer(), report)
    }
}
