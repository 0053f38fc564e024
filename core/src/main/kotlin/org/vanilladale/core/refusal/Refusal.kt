package org.vanilladale.core.refusal

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState

/**
 * Refusal of a request.
 *
 * @property run whether the request ran
 * @property detail specific cause for the caller; null if the reason is sufficient
 * @property retryAt earliest time at which a retry may succeed; null if unknown
 */
public data class Refusal(
    val reason: RefusalReason,
    val run: RunState = reason.run,
    val detail: String? = null,
    val retryAt: Deadline? = null,
)
