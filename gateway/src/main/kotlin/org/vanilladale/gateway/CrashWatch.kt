package org.vanilladale.gateway

import arrow.core.Either
import org.vanilladale.core.crash.TraitSuspects
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp

/**
 * Keeps requests from targets that would crash with them; see [TraitSuspects]. Thread-safe.
 *
 * @param onChange called when other entries should learn at once what this one saw
 */
internal class CrashWatch(
    private val suspects: TraitSuspects,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val onChange: () -> Unit,
) {
    /** Returns the refusal of a request with [traits], or null if [begin] may admit it. */
    fun refusalOrNull(traits: Set<RequestTrait>): Refusal? = suspects.refusalOrNull(traits, clock())

    /** Admits a request with [traits] to a target or refuses it; see [TraitSuspects.begin]. */
    fun begin(traits: Set<RequestTrait>): Either<Refusal, Set<RequestTrait>> =
        suspects.begin(traits, clock()).onRight { if (it.isNotEmpty()) onChange() }

    /** Ends the trial that [begin] started. */
    fun end(trial: Set<RequestTrait>) = suspects.end(trial)

    /** Records that a target crashed before it answered [request]. */
    fun recordCrash(request: ForwardedRequest) =
        report(request, "suspect", suspects.recordCrash(request.traits, clock()))

    /** Records that a target began to answer [request]. */
    fun recordAnswer(request: ForwardedRequest) =
        report(request, "cleared", suspects.recordAnswer(request.traits, clock()))

    /** Returns the reports for other entries. */
    fun reports(): List<SuspectTrait> = suspects.reports(clock())

    /** Merges the reports of another entry. */
    fun merge(reports: List<SuspectTrait>) = suspects.merge(reports, clock())

    private fun report(request: ForwardedRequest, state: String, traits: List<RequestTrait>) {
        if (traits.isEmpty()) return
        traits.forEach { trait ->
            metrics.counters.event("crash-$state")
            val id = request.head.request.text
            log.log(GatewayEvent.CrashSuspect(trait.text, state, id))
        }
        onChange()
    }
}
