package org.vanilladale.agent

import org.vanilladale.schema.Attempt
import org.vanilladale.schema.RequestId

/**
 * An attempt at this agent.
 *
 * @property session number of the connection; request ids are unique only within one
 */
internal data class AttemptId(val session: Long, val request: RequestId, val attempt: Attempt)
