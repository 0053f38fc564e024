package org.vanilladale.agent

import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Submit

/** Asked immediately before a call's bytes are sent; a refusal holds the call back. */
public typealias DispatchGate = () -> Refusal?

/**
 * Sends one attempt to the target of this VM and passes each piece of the answer on.
 *
 * Cancelling the calling coroutine cancels the call at the target.
 */
public typealias TargetCaller =
    suspend (submit: Submit, gate: DispatchGate, onText: suspend (String) -> Unit) -> TargetOutcome
