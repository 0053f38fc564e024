package org.vanilladale.entry

import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.Frame

/** What happens to an attempt at an agent. */
internal sealed interface AttemptEvent {
    /** A frame of the agent for this attempt. */
    data class Received(val frame: Frame) : AttemptEvent

    /** The connection ended; the attempt may have run. */
    data class Lost(val reason: RetryReason) : AttemptEvent

    /** The caller read too slowly for the frames that came. */
    data object Overflowed : AttemptEvent
}
