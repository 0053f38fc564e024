package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** What the owner of a connection does after a tick. */
public sealed interface HeartbeatAction {
    /** Nothing is due. */
    public data object None : HeartbeatAction

    /** The peer is silent: end the connection. */
    public data object Abandon : HeartbeatAction

    /**
     * Send a heartbeat with these times.
     *
     * @property nextMilliseconds time within which the next heartbeat follows
     * @property leastMilliseconds shortest interval that this process can keep up
     */
    public data class Send(val nextMilliseconds: Long, val leastMilliseconds: Long) :
        HeartbeatAction
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
public class ConnectionHeartbeat(
    private val rule: HeartbeatRule,
    private val betweenEntries: Boolean,
    private val random: Random,
    openedAt: Timestamp,
) {
    private var heartbeatDeadline = openedAt.deadlineAfter(0)
    private var isFirst = true
    private var peerNextMilliseconds = rule.baseMilliseconds
    private var peerMinimumMilliseconds = 0L
    private var ownMinimumMilliseconds = rule.baseMilliseconds
    private var probeDeadline: Deadline? = null

    /** Time from which a request needs a probe first. */
    private var quietDeadline = openedAt.deadlineAfter(rule.quietMilliseconds)

    /** Time from which the peer counts as silent. */
    public var silenceDeadline: Deadline = silenceFrom(openedAt)
        private set

    /** Takes any frame of the peer as a sign of life. */
    public fun frameReceived(now: Timestamp) {
        probeDeadline = null
        quietDeadline = now.deadlineAfter(rule.quietMilliseconds)
        silenceDeadline = silenceFrom(now)
    }

    /** Takes the times of a heartbeat. */
    public fun heartbeatReceived(nextMilliseconds: Long, leastMilliseconds: Long, now: Timestamp) {
        peerNextMilliseconds = nextMilliseconds
        peerMinimumMilliseconds = leastMilliseconds
        frameReceived(now)
        // A peer that has lost connections expects the faster heartbeats at once.
        heartbeatDeadline = minOf(heartbeatDeadline, now.deadlineAfter(intervalMilliseconds()))
    }

    /** Returns true when a request is about to use a quiet connection: ask the peer for a frame. */
    public fun startProbe(now: Timestamp): Boolean {
        if (probeDeadline != null || !quietDeadline.hasPassed(now)) return false
        probeDeadline = now.deadlineAfter(rule.probeMilliseconds)
        return true
    }

    /** Returns what is due in a process with [connections] open connections. */
    public fun tick(connections: Int, now: Timestamp): HeartbeatAction {
        ownMinimumMilliseconds = rule.intervalMilliseconds(connections, betweenEntries)
        return when {
            silenceDeadline.hasPassed(
                now,
            ) || probeDeadline?.hasPassed(now) == true -> HeartbeatAction.Abandon
            heartbeatDeadline.hasPassed(now) -> sendHeartbeat(now)
            else -> HeartbeatAction.None
        }
    }

    /** This process was paused; what the peer sent meanwhile gets time to be read. */
    public fun resumed(now: Timestamp) {
        silenceDeadline =
            maxOf(
                silenceDeadline,
                now.deadlineAfter(rule.silenceMilliseconds(rule.baseMilliseconds)),
            )
        probeDeadline = probeDeadline?.let { now.deadlineAfter(rule.probeMilliseconds) }
    }

    private fun sendHeartbeat(now: Timestamp): HeartbeatAction {
        val interval = intervalMilliseconds()
        val next = if (isFirst) 1 + random.nextLong(interval) else interval
        isFirst = false
        heartbeatDeadline = now.deadlineAfter(next)
        return HeartbeatAction.Send(next, ownMinimumMilliseconds)
    }

    private fun intervalMilliseconds() = maxOf(ownMinimumMilliseconds, peerMinimumMilliseconds)

    private fun silenceFrom(now: Timestamp) =
        now.deadlineAfter(rule.silenceMilliseconds(peerNextMilliseconds))
}
