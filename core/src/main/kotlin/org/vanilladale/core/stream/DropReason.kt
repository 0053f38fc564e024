package org.vanilladale.core.stream

/**
 * Reason why a frame was dropped. There is a counter for each reason.
 *
 * @property code label of the counter
 */
public enum class DropReason(public val code: String) {
    OTHER_REQUEST("other-request"),
    OLD_ATTEMPT("old-attempt"),
    UNSTARTED_ATTEMPT("unstarted-attempt"),
    OFFSET_BEHIND("offset-behind"),
    OFFSET_AHEAD("offset-ahead"),
    END_AHEAD("end-ahead"),
    CLOSED("closed"),
}
