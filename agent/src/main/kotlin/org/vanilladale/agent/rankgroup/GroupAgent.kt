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
 * Runs the group member of this agent while the tables assign its target to a rank group.
 *
 * When the membership in the tables changes, a new member starts without the state of the previous
 * one, as after a restart. It reads the state of its engine or waits until the longest lease has
 * expired.
 *
 * @param tables returns the active tables, or null before the first ones have been received
 * @param onHealth called with true while the group misses its step deadline
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

    /** Starts and stops the group member in [scope] as the membership in the tables changes. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                tables()?.let { updateMember(scope, it) }
                member?.stateCounters?.forEach { (name, value) -> counters.state(name, value) }
                delay(UPDATE_INTERVAL_MILLISECONDS)
            }
        }
    }

    /** Serves a connection from another agent, or closes it if this target is in no rank group. */
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
