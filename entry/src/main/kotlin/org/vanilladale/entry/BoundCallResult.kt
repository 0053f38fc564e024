package org.vanilladale.entry

import org.vanilladale.core.refusal.Refusal

/** The result of sending one copy of a bound request to its agent. */
internal sealed interface BoundCallResult {
    /** The complete answer was delivered and its digest verified. */
    data object Complete : BoundCallResult

    /** The agent refused the request, or another incarnation now serves the target. */
    data class Refused(val refusal: Refusal) : BoundCallResult

    /** The agent sent no outcome. Sending another copy may still return it. */
    data object Lost : BoundCallResult
}
