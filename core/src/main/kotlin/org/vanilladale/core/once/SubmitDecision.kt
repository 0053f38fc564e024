package org.vanilladale.core.once

import org.vanilladale.core.refusal.Refusal

/** Decision of the ledger about one copy of a request with a binding. */
public sealed interface SubmitDecision<out O : Any> {
    /**
     * The copy is the first one. Queue the request, and call [Ledger.mayDispatch] immediately
     * before sending it.
     */
    public data object Run : SubmitDecision<Nothing>

    /**
     * The request waits or runs already. Register for its outcome and then submit the request
     * again, so that an outcome between the first submit and the registration is not missed.
     */
    public data object Attach : SubmitDecision<Nothing>

    /** The request ran already with [outcome]. */
    public data class Replay<O : Any>(val outcome: O) : SubmitDecision<O>

    /** The copy must not run. The run state of [refusal] applies to every other copy as well. */
    public data class Refuse(val refusal: Refusal) : SubmitDecision<Nothing>
}
