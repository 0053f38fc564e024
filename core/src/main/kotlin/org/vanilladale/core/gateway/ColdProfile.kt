package org.vanilladale.core.gateway

/**
 * How the targets of a pool behave after their start, read from the configuration.
 *
 * @property coldMilliseconds time for which a target is cold after its start
 * @property requestsPerSecond requests per second that a cold target tolerates; it crashes at a
 *   much higher rate
 */
public data class ColdProfile(val coldMilliseconds: Long, val requestsPerSecond: Double)
