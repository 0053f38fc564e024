package org.vanilladale.core.refusal

/**
 * Reason for which an entry sends a request to another target. Each reason has a counter.
 *
 * @property code label of the counter
 */
public enum class RetryReason(public val code: String) {
    CONNECT_FAILED("connect-failed"),
    CONNECTION_LOST("connection-lost"),
    CONNECTION_SILENT("connection-silent"),
    NO_PROGRESS("no-progress"),
    TARGET_OVERLOADED("target-overloaded"),
    TARGET_LEAVING("target-leaving"),
    TARGET_LOADING("target-loading"),
    TARGET_FAILED("target-failed"),
    TARGET_REPLACED("target-replaced"),
    SUSPECT_ISOLATED("suspect-isolated"),
    HEDGE("hedge"),
}
