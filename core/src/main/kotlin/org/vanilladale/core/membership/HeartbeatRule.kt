package org.vanilladale.core.membership

/**
 * Determines how often a process sends heartbeats and how long a peer waits for them.
 *
 * The interval grows with the number of connections of the process, so that its control traffic
 * stays below 3 KB per second. Each heartbeat contains the time until the next one. The peer treats
 * the connection as silent only after that time plus a tolerance, so that a sender with a long
 * interval does not count as silent.
 *
 * @property baseMilliseconds interval with few connections
 * @property minToleranceMilliseconds minimum tolerance for a late heartbeat
 */
public data class HeartbeatRule(val baseMilliseconds: Long, val minToleranceMilliseconds: Long) {
    init {
        require(baseMilliseconds > 0 && minToleranceMilliseconds > 0) {
            "both times must be positive; found $baseMilliseconds and $minToleranceMilliseconds"
        }
    }

    /** Time between two checks of the deadlines of all connections. */
    public val tickMilliseconds: Long
        get() = (baseMilliseconds / TICKS_PER_INTERVAL).coerceIn(1, MAX_TICK_MILLISECONDS)

    /** Time without a frame after which a connection is probed before a request uses it. */
    public val quietMilliseconds: Long get() = QUIET_INTERVALS * baseMilliseconds

    /** Time within which a peer must answer a probe. */
    public val probeMilliseconds: Long get() = baseMilliseconds

    /**
     * Returns the interval of a process with [connections] open connections.
     *
     * @param betweenEntries whether the connection is between two entries. These have a shorter
     *   interval, because they determine which entries callers are referred to, and an entry has
     *   only about six of them
     */
    public fun intervalMilliseconds(connections: Int, betweenEntries: Boolean): Long {
        val bytesPerSecond = (
            MAX_CONTROL_BYTES_PER_SECOND - FIXED_BYTES_PER_SECOND -
                REVISION_BYTES_PER_SECOND * connections
            ).coerceAtLeast(MIN_HEARTBEAT_BYTES_PER_SECOND)
        val scaled = HEARTBEAT_BYTES * connections * MILLISECONDS_PER_SECOND / bytesPerSecond
        val wanted = if (betweenEntries) scaled / ENTRY_INTERVAL_DIVISOR else scaled
        return wanted.coerceIn(baseMilliseconds, maxOf(baseMilliseconds, MAX_INTERVAL_MILLISECONDS))
    }

    /**
     * Returns the maximum silence after a frame of a peer whose next heartbeat is due within
     * [nextMilliseconds].
     */
    public fun silenceMilliseconds(nextMilliseconds: Long): Long {
        val next = nextMilliseconds.coerceIn(0, maxOf(baseMilliseconds, MAX_INTERVAL_MILLISECONDS))
        return next + maxOf(minToleranceMilliseconds, next / TOLERANCE_DIVISOR)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Budget for the control traffic of a process, in both directions together. */
        const val MAX_CONTROL_BYTES_PER_SECOND = 3_000L

        /**
         * Traffic that does not depend on the number of connections: twice the 323 B/s that
         * `ConfigurationCostTest` extrapolates for 1,190 processes, plus the more frequent
         * heartbeats between entries.
         */
        const val FIXED_BYTES_PER_SECOND = 850L

        /**
         * Traffic per connection for configuration revisions. Every 27 s a new revision is
         * announced once on each connection, with about 80 bytes.
         */
        const val REVISION_BYTES_PER_SECOND = 3L

        /** Budget that heartbeats get even if the other control traffic uses the whole budget. */
        const val MIN_HEARTBEAT_BYTES_PER_SECOND = 500L

        /** Size of a heartbeat to an agent and the answer with its load; see `FrameCodecTest`. */
        const val HEARTBEAT_BYTES = 80L

        const val ENTRY_INTERVAL_DIVISOR = 8L
        const val TOLERANCE_DIVISOR = 4L
        const val QUIET_INTERVALS = 2L
        const val TICKS_PER_INTERVAL = 4L
        const val MAX_TICK_MILLISECONDS = 250L
        const val MAX_INTERVAL_MILLISECONDS = 60_000L
    }
}
