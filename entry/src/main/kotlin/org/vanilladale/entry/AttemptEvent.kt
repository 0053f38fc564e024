package org.vanilladale.entry

import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.schema.Frame

/** An event of an attempt at an agent. */
internal sealed interface AttemptEvent {
    /** The agent sent a frame for this attempt. */
    data class Received(val frame: Frame) : AttemptEvent

    /** The connection was lost. The agent may have run the request. */
    data class Lost(val reason: RetryReason) : AttemptEvent

    /** The buffer overflowed because the caller reads more slowly than frames arrive. */
    data object Overflowed : AttemptEvent
}
