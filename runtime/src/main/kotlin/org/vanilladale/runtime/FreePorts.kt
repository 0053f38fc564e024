package org.vanilladale.runtime

import java.net.BindException
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Hands out ports on which nobody listens, each of them once.
 *
 * A port is free from the time it is handed out until its program listens, and another test run on
 * the same machine could take it meanwhile. Each process therefore reserves whole blocks of ports:
 * it listens on the first port of a block for as long as it runs, and hands out the others.
 */
public object FreePorts {
    private const val BLOCK_SIZE = 100

    /** Below the ports of outgoing connections, which could take one before it is listened on. */
    private val blocks = (20_000 until 32_000 step BLOCK_SIZE).shuffled(Random).iterator()

    /** Listeners that reserve the blocks of this process. */
    private val reservations = ArrayList<ServerSocket>()
    private var block: Iterator<Int> = emptyList<Int>().iterator()

    /**
     * Returns a port that no process listens on.
     *
     * @throws NoSuchElementException if all blocks are reserved; end other test runs first
     */
    @Synchronized
    public fun take(): Int {
        while (true) {
            while (!block.hasNext()) block = reserveOrEmpty(blocks.next())
            val port = block.next()
            listenOrNull(port)?.close() ?: continue
            return port
        }
    }

    /** Returns the ports of the block that begins at [first], or none if it is reserved already. */
    private fun reserveOrEmpty(first: Int): Iterator<Int> {
        val reservation = listenOrNull(first) ?: return emptyList<Int>().iterator()
        reservations += reservation
        return (first + 1 until first + BLOCK_SIZE).iterator()
    }

    private fun listenOrNull(port: Int): ServerSocket? = try {
        ServerSocket(port)
    } catch (_: BindException) {
        null
    }
}
