package org.vanilladale.core.gateway

/**
 * Limits on the size and duration of a caller's request.
 *
 * @property headerTimeoutMilliseconds maximum time until all headers have arrived
 * @property idleTimeoutMilliseconds time without traffic after which a connection is closed
 */
public data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerTimeoutMilliseconds: Long,
    val idleTimeoutMilliseconds: Long,
)
