package org.vanilladale.entry

import kotlinx.coroutines.channels.Channel
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.stream.WaitingFrames
import org.vanilladale.schema.Frame
import org.vanilladale.transport.PeerConnection

/**
 * Queue of the events of one attempt, from the connection to the coroutine of the request.
 *
 * Adding an event never suspends, so that a slow caller does not delay other attempts on the same
 * connection.
 *
 * @property connection connection that the attempt uses; the loss of any other connection does not
 *   affect the attempt
 */
internal class AttemptEvents(val connection: PeerConnection?) {
    private val waiting = WaitingFrames()
    private val added = Channel<Unit>(Channel.CONFLATED)
    private var lost: RetryReason? = null
    private var overflowed = false

    /** Returns the next event. Suspends until there is one. */
    suspend fun receive(): AttemptEvent {
        while (true) {
            pollOrNull()?.let { return it }
            added.receive()
        }
    }

    /** Returns the next event, or null if there is none. */
    @Synchronized
    fun pollOrNull(): AttemptEvent? = waiting.pollOrNull()?.let { AttemptEvent.Received(it) }
        ?: lost?.let { AttemptEvent.Lost(it) }
        ?: AttemptEvent.Overflowed.takeIf { overflowed }

    /** Adds [frame]. Returns false if the queue is full, which ends the attempt. */
    fun received(frame: Frame): Boolean {
        val stored = synchronized(this) {
            (!overflowed && waiting.offer(frame)).also { if (!it) overflowed = true }
        }
        added.trySend(Unit)
        return stored
    }

    /** Ends the attempt with [reason], after the queued frames. */
    fun lost(reason: RetryReason) {
        synchronized(this) { lost = reason }
        added.trySend(Unit)
    }
}
