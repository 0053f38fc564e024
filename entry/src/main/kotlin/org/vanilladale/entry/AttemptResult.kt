package org.vanilladale.entry

import org.vanilladale.core.retry.AttemptFailure

/** How one attempt ended. */
internal sealed interface AttemptResult {
    /** The whole answer was delivered and checked. */
    data object Complete : AttemptResult

    /** The attempt failed; another one may be allowed. */
    data class Failed(val failure: AttemptFailure) : AttemptResult
}
