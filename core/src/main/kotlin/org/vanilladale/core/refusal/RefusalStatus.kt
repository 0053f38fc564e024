package org.vanilladale.core.refusal

import org.vanilladale.schema.RunState

/** Statuses that promise that the request has not run and never will. */
private val notRunStatuses = setOf(408, 421, 429, 503)

private const val BAD_GATEWAY = 502

/** HTTP status of the refusal; a request that may have run never gets one that denies it. */
public val Refusal.status: Int
    get() = if (run == RunState.UNKNOWN && reason.httpStatus in notRunStatuses) {
        BAD_GATEWAY
    } else {
        reason.httpStatus
    }
