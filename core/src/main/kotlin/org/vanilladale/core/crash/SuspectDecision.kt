package org.vanilladale.core.crash

import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId

/** How a request runs with regard to the crashes that it was in flight at. */
public sealed interface SuspectDecision {
    /** Not suspected. */
    public data object Run : SuspectDecision

    /**
     * Suspected: run it alone on [target], and report the success to [SuspectRegistry.clear].
     *
     * @property settledAt decide again at this time instead of starting earlier; a further crash
     * may be on its way
     */
    public data class RunIsolated(val target: TargetId, val settledAt: Deadline) : SuspectDecision

    /** Convicted, or suspected without a target to run it on. */
    public data class Refuse(val refusal: Refusal) : SuspectDecision
}
