package org.vanilladale.core.once

import org.vanilladale.core.refusal.Refusal

/** What the ledger decides about one copy of a request with a binding. */
public sealed interface SubmitDecision<out O : Any> {
    /** First copy: queue the request and call [Ledger.mayDispatch] immediately before sending. */
    public data object Run : SubmitDecision<Nothing>

    /**
     * The request waits or runs already: register for its outcome, then submit once more, so that
     * an outcome between the two steps is not missed.
     */
    public data object Attach : SubmitDecision<Nothing>

    /** The request ran already with [outcome]. */
    public data class Replay<O : Any>(val outcome: O) : SubmitDecision<O>

    /** The copy must not run; the run state of [refusal] holds for every other copy as well. */
    public data class Refuse(val refusal: Refusal) : SubmitDecision<Nothing>
}
