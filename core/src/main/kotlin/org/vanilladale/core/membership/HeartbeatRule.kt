package org.vanilladale.core.membership

/**
 * Decides how often a process sends heartbeats and how long a peer waits for them.
 *
 * The interval grows with the connections of the process, so that its control bytes stay under 3 KB
 * a second. Each heartbeat names the time until the next one; the other side counts the connection
 * as silent only after that time and a tolerance, so that a slow sender is not taken for a silent
 * one.
 *
 * @property baseMilliseconds interval while there are few connections
 * @property minToleranceMilliseconds least time by which a heartbeat may be late
 */
public data class HeartbeatRule(val baseMilliseconds: Long, val minToleranceMilliseconds: Long) {
    init {
        require(baseMilliseconds > 0 && minToleranceMilliseconds > 0) {
            "base and slack must be positive; found $baseMilliseconds and $minToleranceMilliseconds"
        }
    }

    /** Time between two looks at the deadlines of all connections. */
    public val tickMilliseconds: Long
        get() = (baseMilliseconds / TICKS_PER_INTERVAL).coerceIn(1, MAX_TICK_MILLISECONDS)

    /** A connection without a frame for this time is probed before a request uses it. */
    public val quietMilliseconds: Long get() = QUIET_INTERVALS * baseMilliseconds

    /** Time in which a peer answers a probe. */
    public val probeMilliseconds: Long get() = baseMilliseconds

    /**
     * Returns the interval of a process with [connections] open connections.
     *
     * @param betweenEntries true for a connection between two entries: an entry has about six, and
     *   they decide which entries callers are told of
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

    /** Returns the silence allowed after a frame of a peer that sends within [nextMilliseconds]. */
    public fun silenceMilliseconds(nextMilliseconds: Long): Long {
        val next = nextMilliseconds.coerceIn(0, maxOf(baseMilliseconds, MAX_INTERVAL_MILLISECONDS))
        return next + maxOf(minToleranceMilliseconds, next / TOLERANCE_DIVISOR)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Design size: control of a node costs at most 3 KB a second, both directions counted. */
        const val MAX_CONTROL_BYTES_PER_SECOND = 3_000L

        /**
         * Twice the 323 B/s that `ConfigurationCostTest` extrapolates to 1,190 processes, and the
         * more frequent heartbeats between entries.
         */
        const val FIXED_BYTES_PER_SECOND = 850L

        /** A revision every 27 s is named once on each connection, with about 80 bytes. */
        const val REVISION_BYTES_PER_SECOND = 3L

        /** Keeps liveness checks going where the other control traffic fills the budget. */
        const val MIN_HEARTBEAT_BYTES_PER_SECOND = 500L

        /** One heartbeat to an agent and one back with a load; see `FrameCodecTest`. */
        const val HEARTBEAT_BYTES = 80L

        const val ENTRY_INTERVAL_DIVISOR = 8L
        const val TOLERANCE_DIVISOR = 4L
        const val QUIET_INTERVALS = 2L
        const val TICKS_PER_INTERVAL = 4L
        const val MAX_TICK_MILLISECONDS = 250L
        const val MAX_INTERVAL_MILLISECONDS = 60_000L
    }
}
