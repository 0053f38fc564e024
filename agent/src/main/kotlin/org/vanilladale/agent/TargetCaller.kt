package org.vanilladale.agent

import org.vanilladale.schema.Submit

/**
 * Sends one attempt to the target of this VM and passes each piece of the answer on.
 *
 * Cancelling the calling coroutine cancels the call at the target.
 */
public typealias TargetCaller =
    suspend (submit: Submit, onText: suspend (String) -> Unit) -> TargetOutcome
