package org.vanilladale.core.retry

import org.vanilladale.core.refusal.RetryReason

/**
 * How an attempt ended that brought the caller no whole answer.
 *
 * @property provenNotRun whether the target can't have run the request, nor will
 */
public enum class AttemptEnd(public val provenNotRun: Boolean, public val reason: RetryReason) {
    /** No connection: no byte of the request left. */
    NOT_SENT(true, RetryReason.CONNECT_FAILED),

    /** The target states that it did not run the request. */
    REJECTED(true, RetryReason.TARGET_OVERLOADED),

    /** Another target has the address. */
    WRONG_TARGET(true, RetryReason.TARGET_REPLACED),

    /** The target answered with a failure of its own. */
    FAILED(false, RetryReason.TARGET_FAILED),

    /** The connection ended, or what came was no answer to this request. */
    BROKEN(false, RetryReason.CONNECTION_LOST),

    /** Nothing came for too long. */
    SILENT(false, RetryReason.NO_PROGRESS),
}
