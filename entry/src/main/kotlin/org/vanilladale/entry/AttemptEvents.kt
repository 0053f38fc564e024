package org.vanilladale.entry

import kotlinx.coroutines.channels.Channel
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.stream.WaitingFrames
import org.vanilladale.schema.Frame
import org.vanilladale.transport.PeerConnection

/**
 * Events of one attempt between the connection that brings them and the coroutine of the request.
 *
 * Adding never suspends, so that a slow caller delays no other attempt on the connection.
 *
 * @property connection connection that the attempt uses; the loss of another one is not its own
 */
internal class AttemptEvents(val connection: PeerConnection?) {
    private val waiting = WaitingFrames()
    private val added = Channel<Unit>(Channel.CONFLATED)
    private var lost: RetryReason? = null
    private var overflowed = false

    /** Returns the next event; waits until there is one. */
    suspend fun receive(): AttemptEvent {
        while (true) {
            pollOrNull()?.let { return it }
            added.receive()
        }
    }

    /** Returns the next event, or null while there is none. */
    @Synchronized
    fun pollOrNull(): AttemptEvent? = waiting.pollOrNull()?.let { AttemptEvent.Received(it) }
        ?: lost?.let { AttemptEvent.Lost(it) }
        ?: AttemptEvent.Overflowed.takeIf { overflowed }

    /** Adds [frame]; returns false when the caller read too slowly and the attempt ends. */
    fun received(frame: Frame): Boolean {
        val stored = synchronized(this) {
            (!overflowed && waiting.offer(frame)).also { if (!it) overflowed = true }
        }
        added.trySend(Unit)
        return stored
    }

    /** Ends the attempt after the frames that wait. */
    fun lost(reason: RetryReason) {
        synchronized(this) { lost = reason }
        added.trySend(Unit)
    }
}
