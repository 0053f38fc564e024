package org.vanilladale.transport

import org.vanilladale.core.membership.HeartbeatRule

/**
 * Intervals of a connection in milliseconds.
 *
 * @property heartbeatMilliseconds interval of heartbeats while there are few connections
 * @property silenceMilliseconds a connection without any frame for this time is abandoned while
 *   heartbeats come at that interval
 * @property handshakeMilliseconds time for connect, hello and welcome
 */
public data class ConnectionTiming(
    val heartbeatMilliseconds: Long,
    val silenceMilliseconds: Long,
    val handshakeMilliseconds: Long = 2_000,
) {
    init {
        require(heartbeatMilliseconds > 0 && silenceMilliseconds >= 2 * heartbeatMilliseconds) {
            "silenceMilliseconds must be at least twice heartbeatMilliseconds; found " +
                "$silenceMilliseconds and $heartbeatMilliseconds"
        }
    }

    internal val heartbeatRule: HeartbeatRule
        get() = HeartbeatRule(heartbeatMilliseconds, silenceMilliseconds - heartbeatMilliseconds)
}
