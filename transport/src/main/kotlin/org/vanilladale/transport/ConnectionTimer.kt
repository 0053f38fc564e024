package org.vanilladale.transport

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.vanilladale.core.membership.HeartbeatRule
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Timestamp

/**
 * Looks at the deadlines of all open connections of a process in one coroutine; a timer for each
 * connection would wake a thread for each heartbeat.
 */
internal class ConnectionTimer(val rule: HeartbeatRule, val clock: () -> Timestamp) :
    AutoCloseable {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val connections = ConcurrentHashMap<PeerConnection, () -> Heartbeat>()

    init {
        scope.launch { tickForever() }
    }

    fun add(connection: PeerConnection, heartbeat: () -> Heartbeat) {
        connections[connection] = heartbeat
    }

    fun remove(connection: PeerConnection) {
        connections.remove(connection)
    }

    private suspend fun tickForever() {
        var expectedAt = clock().deadlineAfter(rule.tickMilliseconds)
        while (scope.isActive) {
            delay(rule.tickMilliseconds)
            val now = clock()
            // A late tick means that this process was paused; its peers get time to be heard again.
            val late = now.epochMilliseconds - expectedAt.epochMilliseconds
            val wokeUp = late > rule.baseMilliseconds
            expectedAt = now.deadlineAfter(rule.tickMilliseconds)
            val open = connections.size
            connections.forEach { (connection, heartbeat) ->
                connection.tick(open, wokeUp, heartbeat)
            }
        }
    }

    override fun close() {
        scope.cancel()
    }
}
