package org.vanilladale.core.refusal

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RunState

/**
 * A refused request.
 *
 * @property detail what was found, for the caller; null when the reason says it all
 * @property retryAt earliest sensible time of a retry; null when unknown
 */
public data class Refusal(
    val reason: RefusalReason,
    val run: RunState = reason.run,
    val detail: String? = null,
    val retryAt: Deadline? = null,
)
