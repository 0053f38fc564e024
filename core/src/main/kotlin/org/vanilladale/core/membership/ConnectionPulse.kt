package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** What the owner of a connection does after a tick. */
public sealed interface PulseAction {
    /** Nothing is due. */
    public data object None : PulseAction

    /** The peer is silent: end the connection. */
    public data object Abandon : PulseAction

    /**
     * Send a heartbeat with these times.
     *
     * @property nextMilliseconds time within which the next heartbeat follows
     * @property leastMilliseconds shortest interval that this process can keep up
     */
    public data class Beat(val nextMilliseconds: Long, val leastMilliseconds: Long) : PulseAction
}

/**
 * Heartbeats and silence of one open connection.
 *
 * Both sides send at the longer of their two intervals, since the process with fewer connections
 * would otherwise cost the other one its budget. A sender keeps the time that it has named even
 * when its interval grows meanwhile. Mutable: used under a lock of the connection.
 *
 * @param random draws the first interval, so that the heartbeats of a process spread out
 */
public class ConnectionPulse(
    private val rule: HeartbeatRule,
    private val betweenEntries: Boolean,
    private val random: Random,
    openedAt: Timestamp,
) {
    private var beatAt = openedAt.deadlineAfter(0)
    private var isFirst = true
    private var peerNextMilliseconds = rule.baseMilliseconds
    private var peerLeastMilliseconds = 0L
    private var ownLeastMilliseconds = rule.baseMilliseconds
    private var probeUntil: Deadline? = null

    /** Time from which a request needs a probe first. */
    private var quietAt = openedAt.deadlineAfter(rule.quietMilliseconds)

    /** Time from which the peer counts as silent. */
    public var silentAt: Deadline = silenceFrom(openedAt)
        private set

    /** Takes any frame of the peer as a sign of life. */
    public fun frameReceived(now: Timestamp) {
        probeUntil = null
        quietAt = now.deadlineAfter(rule.quietMilliseconds)
        silentAt = silenceFrom(now)
    }

    /** Takes the times of a heartbeat. */
    public fun beatReceived(nextMilliseconds: Long, leastMilliseconds: Long, now: Timestamp) {
        peerNextMilliseconds = nextMilliseconds
        peerLeastMilliseconds = leastMilliseconds
        frameReceived(now)
        // A peer that has lost connections expects the faster heartbeats at once.
        beatAt = minOf(beatAt, now.deadlineAfter(intervalMilliseconds()))
    }

    /** Returns true when a request is about to use a quiet connection: ask the peer for a frame. */
    public fun startProbe(now: Timestamp): Boolean {
        if (probeUntil != null || !quietAt.hasPassed(now)) return false
        probeUntil = now.deadlineAfter(rule.probeMilliseconds)
        return true
    }

    /** Returns what is due in a process with [connections] open connections. */
    public fun tick(connections: Int, now: Timestamp): PulseAction {
        ownLeastMilliseconds = rule.intervalMilliseconds(connections, betweenEntries)
        return when {
            silentAt.hasPassed(now) || probeUntil?.hasPassed(now) == true -> PulseAction.Abandon
            beatAt.hasPassed(now) -> beat(now)
            else -> PulseAction.None
        }
    }

    /** This process was paused; what the peer sent meanwhile gets time to be read. */
    public fun wokeUp(now: Timestamp) {
        silentAt =
            maxOf(silentAt, now.deadlineAfter(rule.silenceMilliseconds(rule.baseMilliseconds)))
        probeUntil = probeUntil?.let { now.deadlineAfter(rule.probeMilliseconds) }
    }

    private fun beat(now: Timestamp): PulseAction {
        val interval = intervalMilliseconds()
        val next = if (isFirst) 1 + random.nextLong(interval) else interval
        isFirst = false
        beatAt = now.deadlineAfter(next)
        return PulseAction.Beat(next, ownLeastMilliseconds)
    }

    private fun intervalMilliseconds() = maxOf(ownLeastMilliseconds, peerLeastMilliseconds)

    private fun silenceFrom(now: Timestamp) =
        now.deadlineAfter(rule.silenceMilliseconds(peerNextMilliseconds))
}
