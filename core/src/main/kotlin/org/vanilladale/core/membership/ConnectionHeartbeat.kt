package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** Action that the owner of a connection performs after [ConnectionHeartbeat.tick]. */
public sealed interface HeartbeatAction {
    /** No action is needed. */
    public data object None : HeartbeatAction

    /** Close the connection, because the peer is silent. */
    public data object Abandon : HeartbeatAction

    /**
     * Send a heartbeat that contains these times.
     *
     * @property nextMilliseconds time within which the next heartbeat follows
     * @property leastMilliseconds shortest heartbeat interval that this process supports
     */
    public data class Send(val nextMilliseconds: Long, val leastMilliseconds: Long) :
        HeartbeatAction
}

/**
 * Schedules the heartbeats of one open connection and detects a silent peer.
 *
 * Both sides use the longer of their two intervals. Otherwise the heartbeats of a process with few
 * connections would exceed the traffic budget of a peer with many. A sender sends the next
 * heartbeat within the time that it announced, even if its interval has become longer meanwhile.
 *
 * Not thread-safe; used while holding the lock of the connection.
 *
 * @param random chooses the first interval, so that the heartbeats of a process do not coincide
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

    /** Deadline after which the connection must be probed before a request uses it. */
    private var quietDeadline = openedAt.deadlineAfter(rule.quietMilliseconds)

    /** Deadline after which the peer counts as silent. */
    public var silenceDeadline: Deadline = silenceFrom(openedAt)
        private set

    /** Records a frame of the peer, which shows that the peer is alive. */
    public fun frameReceived(now: Timestamp) {
        probeDeadline = null
        quietDeadline = now.deadlineAfter(rule.quietMilliseconds)
        silenceDeadline = silenceFrom(now)
    }

    /** Records a heartbeat of the peer and the times that it contains. */
    public fun heartbeatReceived(nextMilliseconds: Long, leastMilliseconds: Long, now: Timestamp) {
        peerNextMilliseconds = nextMilliseconds
        peerMinimumMilliseconds = leastMilliseconds
        frameReceived(now)
        // A peer that has lost connections has a shorter interval, which applies at once.
        heartbeatDeadline = minOf(heartbeatDeadline, now.deadlineAfter(intervalMilliseconds()))
    }

    /**
     * Starts a probe if the connection is quiet. Called before a request uses the connection.
     *
     * @return true if a probe was started and the caller must request a frame from the peer
     */
    public fun startProbe(now: Timestamp): Boolean {
        if (probeDeadline != null || !quietDeadline.hasPassed(now)) return false
        probeDeadline = now.deadlineAfter(rule.probeMilliseconds)
        return true
    }

    /** Returns the action that is due in a process with [connections] open connections. */
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

    /**
     * Extends the deadlines after a pause of this process, so that frames that the peer sent in the
     * meantime can be read first.
     */
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
