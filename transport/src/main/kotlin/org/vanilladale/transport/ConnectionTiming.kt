package org.vanilladale.transport

/**
 * Intervals of a connection in milliseconds.
 *
 * @property heartbeatMilliseconds an idle connection sends a heartbeat at this interval
 * @property silenceMilliseconds a connection without any frame for this time is abandoned
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
}
