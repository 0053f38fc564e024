package org.vanilladale.gateway

import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.schema.Deadline

/**
 * What the head of a caller's request says, whatever the protocol.
 *
 * @property path path that selects the route, without the query
 * @property key secret that names the workspace; null when the caller sent none
 * @property deadline time at which the caller stops waiting; null when it names none
 * @property resumeAfter id of the last event that the caller holds, if any
 */
public data class CallerHead(
    val request: CallerRequestId,
    val host: String,
    val path: String,
    val key: String?,
    val deadline: Deadline?,
    val resumeAfter: Long?,
)
