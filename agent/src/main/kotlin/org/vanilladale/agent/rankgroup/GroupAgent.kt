package org.vanilladale.agent.rankgroup

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.AgentSettings
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerNetwork

/**
 * Takes part in the rank group that the tables name for this agent's target, if any.
 *
 * When the membership in the tables changes, the member starts over with empty memory, as after a
 * restart: it reads its engine back or waits out the longest lease.
 *
 * @param tables tables in force; null before the first ones
 */
internal class GroupAgent(
    private val settings: AgentSettings,
    private val vertx: Vertx,
    private val network: PeerNetwork,
    private val counters: SystemCounters,
    private val tables: () -> JoinedTables?,
    private val onHealth: (slow: Boolean) -> Unit,
) {
    @Volatile
    private var member: GroupMember? = null

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                tables()?.let { updateMember(scope, it) }
                member?.stateCounters?.forEach { (name, value) -> counters.state(name, value) }
                delay(UPDATE_INTERVAL_MILLISECONDS)
            }
        }
    }

    /** Serves a connection from another agent. */
    suspend fun serve(connection: PeerConnection) {
        val current = member
        if (current == null) connection.close() else current.serve(connection)
    }

    private fun updateMember(scope: CoroutineScope, tables: JoinedTables) {
        val membership = GroupMembership.findOrNull(tables, settings.target)
        if (membership == member?.membership) return
        member?.stop()
        onHealth(false)
        member = membership?.let { GroupMember(it, settings, vertx, scope, ports(it)) }
        member?.start()
        membership?.let { Logger.info { "group: rank ${it.rank} of ${it.group} started" } }
    }

    private fun ports(membership: GroupMembership) = MemberPorts(
        network,
        ::systemNow,
        { tables()?.poolOrNull(membership.pool)?.skewWeight ?: DEFAULT_SKEW_WEIGHT },
        onHealth,
        counters::event,
    )

    private companion object {
        const val UPDATE_INTERVAL_MILLISECONDS = 500L
        const val DEFAULT_SKEW_WEIGHT = 0.5
    }
}
