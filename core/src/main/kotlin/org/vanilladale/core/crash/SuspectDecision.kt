package org.vanilladale.core.crash

import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.TargetId

/** How a request may run, given the crashes during which it was in flight. */
public sealed interface SuspectDecision {
    /** The request is no suspect and runs as usual. */
    public data object Run : SuspectDecision

    /**
     * The request is a suspect. Run it isolated on [target], and call [SuspectRegistry.clear] if
     * it completes.
     *
     * @property settledAt time before which the request must not start. Decide again at this time,
     * because the report of another crash may arrive until then.
     */
    public data class RunIsolated(val target: TargetId, val settledAt: Deadline) : SuspectDecision

    /** The request is convicted, or it is a suspect and there is no target to run it. */
    public data class Refuse(val refusal: Refusal) : SuspectDecision
}
