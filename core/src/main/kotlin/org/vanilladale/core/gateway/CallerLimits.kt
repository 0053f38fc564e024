package org.vanilladale.core.gateway

/** Bounds on what a caller may send and how long it may take. */
public data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerTimeoutMilliseconds: Long,
    val idleTimeoutMilliseconds: Long,
)
