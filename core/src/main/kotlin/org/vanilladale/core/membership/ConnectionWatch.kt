package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** Action that the owner of a connection performs after an event. */
public sealed interface ConnectionAction {
    /** Close the connection without waiting for the peer. */
    public data object Abandon : ConnectionAction

    /** Open a new connection and report the outcome before [deadline]. */
    public data class Dial(val deadline: Deadline) : ConnectionAction

    /** Mark the target as suspected. */
    public data object SuspectTarget : ConnectionAction

    /** Mark the target as no longer suspected. */
    public data object ClearSuspicion : ConnectionAction
}

/**
 * Timeouts and backoff of a [ConnectionWatch].
 *
 * @property silenceMilliseconds time without a frame after which a connection is abandoned
 * @property dialTimeoutMilliseconds maximum duration of a dial
 * @property initialBackoffMilliseconds wait after the first failed dial, doubled with each further
 *   one up to [maxBackoffMilliseconds]
 */
public data class ConnectionTimes(
    val silenceMilliseconds: Long = 3_000,
    val dialTimeoutMilliseconds: Long = 1_000,
    val initialBackoffMilliseconds: Long = 250,
    val maxBackoffMilliseconds: Long = 8_000,
)

/**
 * Monitors one connection and reconnects it. A silent connection alone does not show that the
 * target has failed. Therefore only the outcome of the next dial decides whether the target is
 * suspected.
 *
 * Not thread-safe; used while holding the lock of the connection's shard.
 */
public class ConnectionWatch(private val times: ConnectionTimes, private val random: Random) {
    private sealed interface Phase {
        data class Open(val silenceDeadline: Deadline) : Phase

        data class Dialling(val deadline: Deadline) : Phase

        data class Waiting(val dialAt: Deadline) : Phase
    }

    private var phase: Phase? = null
    private var failedDials = 0

    /** Whether the last completed dial failed. */
    public val isSuspected: Boolean get() = failedDials > 0

    /** Opens the first connection. */
    public fun start(now: Timestamp): List<ConnectionAction> = listOf(dial(now))

    /** Records a received frame. */
    public fun frameReceived(now: Timestamp) {
        if (phase is Phase.Open) phase = Phase.Open(silenceDeadline(now))
    }

    /** Handles the end of a connection that the peer closed or that broke. */
    public fun connectionLost(now: Timestamp): List<ConnectionAction> =
        if (phase is Phase.Open) listOf(dial(now)) else emptyList()

    /** Handles a successful dial. A dial has succeeded when the answer to Hello arrives. */
    public fun dialSucceeded(now: Timestamp): List<ConnectionAction> {
        if (phase !is Phase.Dialling) return listOf(ConnectionAction.Abandon)
        phase = Phase.Open(silenceDeadline(now))
        val suspected = isSuspected
        failedDials = 0
        return if (suspected) listOf(ConnectionAction.ClearSuspicion) else emptyList()
    }

    /** Handles a failed dial. */
    public fun dialFailed(now: Timestamp): List<ConnectionAction> {
        if (phase !is Phase.Dialling) return emptyList()
        failedDials += 1
        phase = Phase.Waiting(now.deadlineAfter(backoffMilliseconds()))
        return if (failedDials == 1) listOf(ConnectionAction.SuspectTarget) else emptyList()
    }

    /** Returns the actions that are due. */
    public fun tick(now: Timestamp): List<ConnectionAction> {
        val current = phase
        return when {
            current is Phase.Open && current.silenceDeadline.hasPassed(now) ->
                listOf(ConnectionAction.Abandon, dial(now))
            current is Phase.Dialling && current.deadline.hasPassed(now) ->
                listOf(ConnectionAction.Abandon) + dialFailed(now)
            current is Phase.Waiting && current.dialAt.hasPassed(now) -> listOf(dial(now))
            else -> emptyList()
        }
    }

    private fun dial(now: Timestamp): ConnectionAction {
        val deadline = now.deadlineAfter(times.dialTimeoutMilliseconds)
        phase = Phase.Dialling(deadline)
        return ConnectionAction.Dial(deadline)
    }

    private fun silenceDeadline(now: Timestamp) = now.deadlineAfter(times.silenceMilliseconds)

    /** Returns a random backoff from the upper half of the range, so that dials do not coincide. */
    private fun backoffMilliseconds(): Long {
        var maximum = times.initialBackoffMilliseconds
        repeat(failedDials - 1) {
            maximum = minOf(2 * maximum, times.maxBackoffMilliseconds)
        }
        return maximum / 2 + random.nextLong(maximum / 2 + 1)
    }
}
