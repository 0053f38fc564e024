package org.vanilladale.entry

import org.vanilladale.core.retry.AttemptFailure
import org.vanilladale.core.retry.Retry

/** The result of one attempt. */
internal sealed interface AttemptResult {
    /** The complete answer was delivered and its digest verified. */
    data object Complete : AttemptResult

    /** The attempt failed. The request may still be retried. */
    data class Failed(val failure: AttemptFailure) : AttemptResult

    /** The target was silent, and [retry] takes the place of the attempt. */
    data class Replaced(val retry: Retry) : AttemptResult
}
