package org.vanilladale.agent

import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason

/** How a call to the target ended. */
public sealed interface TargetOutcome {
    /** The whole answer has come. */
    public data object Completed : TargetOutcome

    /** The target answered with an error and runs on. */
    public data class Failed(val reason: RefusalReason, val detail: String) : TargetOutcome

    /** The connection broke while the call ran; the target may have crashed. */
    public data class Broken(val detail: String) : TargetOutcome

    /** The gate held the call back; the target has not seen it. */
    public data class Withheld(val refusal: Refusal) : TargetOutcome

    /** The agent ended the call because the request is suspected; the target may have run it. */
    public data object Withdrawn : TargetOutcome

    /** The target can't be reached and has not seen the call. */
    public data class Unreachable(val detail: String) : TargetOutcome
}
