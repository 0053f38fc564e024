package org.vanilladale.gateway

import arrow.core.Either
import org.vanilladale.core.crash.PartSuspects
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.SuspectPart
import org.vanilladale.schema.Timestamp

/**
 * Keeps prompts from targets that would crash with them; see [PartSuspects]. Thread-safe.
 *
 * @param onChange called when other entries should learn at once what this one saw
 */
internal class PromptPartWatch(
    private val suspects: PartSuspects,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val onChange: () -> Unit,
) {
    /** Returns the refusal of a request with [parts], or null if [begin] may admit it. */
    fun refusalOrNull(parts: Set<PrefixId>): Refusal? = suspects.refusalOrNull(parts, clock())

    /** Admits a request with [parts] to a target or refuses it; see [PartSuspects.begin]. */
    fun begin(parts: Set<PrefixId>): Either<Refusal, Set<PrefixId>> = suspects.begin(parts, clock())

    /** Ends the trial that [begin] started. */
    fun end(trial: Set<PrefixId>) = suspects.end(trial)

    /** Records that a target closed its connection before it answered [request]. */
    fun recordCrash(request: ForwardedRequest) =
        report(request, "suspect", suspects.recordCrash(request.head.sharedParts, clock()))

    /** Records that a target began to answer [request]. */
    fun recordAnswer(request: ForwardedRequest) =
        report(request, "cleared", suspects.recordAnswer(request.head.sharedParts, clock()))

    /** Returns the reports for other entries. */
    fun reports(): List<SuspectPart> = suspects.reports(clock())

    /** Merges the reports of another entry. */
    fun merge(reports: List<SuspectPart>) = suspects.merge(reports, clock())

    private fun report(request: ForwardedRequest, state: String, parts: List<PrefixId>) {
        if (parts.isEmpty()) return
        parts.forEach { part ->
            metrics.counters.event("prompt-part-$state")
            val id = request.head.request.text
            log.log(GatewayEvent.PromptPartState(part.text, state, id))
        }
        onChange()
    }
}
