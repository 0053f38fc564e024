package org.vanilladale.gateway

import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId

/**
 * Head of a caller's request, independent of the protocol.
 *
 * @property path path that selects the route, without the query
 * @property key secret that identifies the workspace, or null when the caller sent none
 * @property deadline time at which the caller stops waiting, or null when it states none
 * @property resumeAfter id of the last event that the caller has received, if any
 * @property sharedParts parts of the prompt that other requests may hold too
 */
public data class CallerHead(
    val request: CallerRequestId,
    val host: String,
    val path: String,
    val key: String?,
    val deadline: Deadline?,
    val resumeAfter: Long?,
    val sharedParts: Set<PrefixId> = emptySet(),
)
