package org.vanilladale.core.refusal

import org.vanilladale.schema.RunState

/** HTTP statuses from which a caller concludes that the request has not run and never will. */
private val notRunStatuses = setOf(408, 421, 429, 503)

private const val BAD_GATEWAY = 502

/**
 * HTTP status of the answer to the caller. If the request may have run, a status from which the
 * caller would conclude that it has not run is replaced by 502.
 */
public val Refusal.status: Int
    get() = if (run == RunState.UNKNOWN && reason.httpStatus in notRunStatuses) {
        BAD_GATEWAY
    } else {
        reason.httpStatus
    }
