package org.vanilladale.agent

import org.vanilladale.core.once.Ledger
import org.vanilladale.core.once.LedgerLimits
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Incarnation

/** How a request with a binding ended; every copy of it gets the same outcome. */
internal sealed interface BoundOutcome {
    /** The target answered with [text]. */
    data class Answered(val text: String) : BoundOutcome

    /** There is no answer; the run state of [refusal] holds for every copy. */
    data class Refused(val refusal: Refusal) : BoundOutcome
}

/** Creates the ledger of an agent's incarnation. */
internal fun boundLedger(
    incarnation: Incarnation,
    longestBindingMilliseconds: Long,
): Ledger<BoundOutcome> {
    val limits = LedgerLimits(
        longestBindingMilliseconds = longestBindingMilliseconds + CLOCK_DIFFERENCE_MILLISECONDS,
    )
    return Ledger(incarnation, limits) { outcome ->
        when (outcome) {
            is BoundOutcome.Answered -> outcome.text.length.toLong() * Char.SIZE_BYTES
            is BoundOutcome.Refused -> REFUSAL_BYTES
        }
    }
}

/** A binding is dated on an entry's clock, which may be this much ahead of the agent's. */
private const val CLOCK_DIFFERENCE_MILLISECONDS = 30_000L

/** A refusal holds a short detail. */
private const val REFUSAL_BYTES = 512L
