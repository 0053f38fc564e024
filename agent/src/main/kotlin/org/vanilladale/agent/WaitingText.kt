package org.vanilladale.agent

import kotlinx.coroutines.channels.Channel

/**
 * Text of one answer between the engine's connection and the coroutine that sends it on.
 *
 * Pieces that wait are taken as one. Above [limit] UTF-16 code units the engine's connection is
 * stopped with [pause], and [resume] lets it go on when the text was taken.
 */
internal class WaitingText(
    private val limit: Int = DEFAULT_LIMIT,
    private val pause: () -> Unit,
    private val resume: () -> Unit,
) {
    private val text = StringBuilder()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var outcome: TargetOutcome? = null
    private var paused = false

    /** Adds a piece of the answer. */
    fun add(piece: String) {
        val mustPause = synchronized(this) {
            text.append(piece)
            (text.length > limit && !paused).also { if (it) paused = true }
        }
        if (mustPause) pause()
        changed.trySend(Unit)
    }

    /** Ends the answer after the text that waits; only the first end counts. */
    fun end(how: TargetOutcome) {
        synchronized(this) { if (outcome == null) outcome = how }
        changed.trySend(Unit)
    }

    /** Passes the text to [onText] as it comes and returns how the answer ended. */
    suspend fun passOn(onText: suspend (String) -> Unit): TargetOutcome {
        while (true) {
            val piece = takeOrNull()
            if (piece != null) {
                onText(piece)
                continue
            }
            synchronized(this) { outcome.takeIf { text.isEmpty() } }?.let { return it }
            changed.receive()
        }
    }

    private fun takeOrNull(): String? {
        var mustResume = false
        val piece = synchronized(this) {
            if (text.isEmpty()) return null
            mustResume = paused
            paused = false
            text.toString().also {
                text.setLength(0)
                // Without the trim the buffer would keep the memory of the longest wait.
                if (it.length > limit) text.trimToSize()
            }
        }
        if (mustResume) resume()
        return piece
    }

    private companion object {
        /** With the rest of one read of the connection it stays well below a frame of 1 MiB. */
        const val DEFAULT_LIMIT = 65_536
    }
}
