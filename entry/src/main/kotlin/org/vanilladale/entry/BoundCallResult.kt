package org.vanilladale.entry

import org.vanilladale.core.refusal.Refusal

/** How one copy of a bound request ended at its agent. */
internal sealed interface BoundCallResult {
    /** The whole answer was delivered and checked. */
    data object Complete : BoundCallResult

    /** The agent decided, or another incarnation serves the target. */
    data class Refused(val refusal: Refusal) : BoundCallResult

    /** There was no word from the agent; another copy may learn the outcome. */
    data object Lost : BoundCallResult
}
