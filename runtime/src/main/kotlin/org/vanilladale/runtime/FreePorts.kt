package org.vanilladale.runtime

import java.net.BindException
import java.net.ServerSocket
import kotlin.random.Random

/** Hands out ports on which nobody listens, each of them once. */
public object FreePorts {
    private val taken = HashSet<Int>()

    /** Below the ports of outgoing connections, which could take one before it is listened on. */
    private val range = 20_000..<32_000

    /** Returns a port that no process listens on. */
    @Synchronized
    public fun take(): Int = generateSequence {
        range.random(Random)
    }.first { taken.add(it) && isFree(it) }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).close()
        true
    } catch (_: BindException) {
        false
    }
}
