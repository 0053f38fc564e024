package org.vanilladale.entry

import org.vanilladale.core.retry.AttemptFailure

/** The result of one attempt. */
internal sealed interface AttemptResult {
    /** The complete answer was delivered and its digest verified. */
    data object Complete : AttemptResult

    /** The attempt failed. The request may still be retried. */
    data class Failed(val failure: AttemptFailure) : AttemptResult
}
