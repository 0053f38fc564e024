package org.vanilladale.runtime

import kotlin.random.Random
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.tinylog.kotlin.Logger
import org.vanilladale.core.membership.ConnectionAction
import org.vanilladale.core.membership.ConnectionTimes
import org.vanilladale.core.membership.ConnectionWatch
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.Timestamp
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/**
 * Keeps one dialled connection up. The connection itself notices silence; a failed redial decides
 * whether the other side is suspected.
 *
 * @param use runs the connection until its end
 * @param onSuspicion called with true after the first failed dial and with false after the next
 *   successful one
 */
public class PeerDialler(
    private val network: PeerNetwork,
    private val address: SocketAddressText,
    times: ConnectionTimes,
    private val clock: () -> Timestamp,
    private val use: suspend (PeerConnection) -> Unit,
    private val onSuspicion: (Boolean) -> Unit,
) {
    private val watch = ConnectionWatch(times, Random.Default)

    /** Dials and redials until the coroutine is cancelled. */
    public suspend fun run() {
        var actions = watch.start(clock())
        while (currentCoroutineContext().isActive) {
            actions = if (actions.any { it is ConnectionAction.Dial }) {
                dial()
            } else {
                delay(POLL_MILLISECONDS)
                watch.tick(clock())
            }
        }
    }

    private suspend fun dial(): List<ConnectionAction> = network.dial(address).fold(
        { fault ->
            Logger.debug { "connection: ${fault.message}" }
            watch.dialFailed(clock()).also(::report)
        },
        { opened ->
            report(watch.dialSucceeded(clock()))
            val openedAt = clock()
            use(opened)
            // A peer that ends each connection at once must not be dialled in a tight loop.
            if (clock().millisecondsSince(openedAt) < SHORT_MILLISECONDS) delay(SHORT_MILLISECONDS)
            watch.connectionLost(clock())
        },
    )

    private fun report(actions: List<ConnectionAction>) {
        if (ConnectionAction.SuspectTarget in actions) onSuspicion(true)
        if (ConnectionAction.ClearSuspicion in actions) onSuspicion(false)
    }

    private companion object {
        const val POLL_MILLISECONDS = 25L
        const val SHORT_MILLISECONDS = 200L
    }
}
