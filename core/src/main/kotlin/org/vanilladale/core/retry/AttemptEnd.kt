package org.vanilladale.core.retry

import org.vanilladale.core.refusal.RetryReason

/**
 * How an attempt ended that didn't give the caller a complete answer.
 *
 * @property provenNotRun whether the target certainly has not run the request and never will
 * @property reason reason that is reported for a retry
 */
public enum class AttemptEnd(public val provenNotRun: Boolean, public val reason: RetryReason) {
    /** No connection was made, so no byte of the request was sent. */
    NOT_SENT(true, RetryReason.CONNECT_FAILED),

    /** The target stated that it did not run the request. */
    REJECTED(true, RetryReason.TARGET_OVERLOADED),

    /** The address now belongs to another target. */
    WRONG_TARGET(true, RetryReason.TARGET_REPLACED),

    /** The target answered that it failed. */
    FAILED(false, RetryReason.TARGET_FAILED),

    /** The connection ended, or the bytes received were no answer to this request. */
    BROKEN(false, RetryReason.CONNECTION_LOST),

    /** Nothing was received for too long. */
    SILENT(false, RetryReason.NO_PROGRESS),
}
