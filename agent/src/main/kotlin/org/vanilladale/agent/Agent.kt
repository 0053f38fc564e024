package org.vanilladale.agent

import io.vertx.core.Vertx
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.tinylog.kotlin.Logger
import org.vanilladale.agent.rankgroup.GroupAgent
import org.vanilladale.agent.rankgroup.ServiceTables
import org.vanilladale.runtime.OperatorEndpoint
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.PlatformReader
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Role
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork

/** The process in a target VM's slot: takes attempts from entries and runs them at its target. */
public class Agent(private val settings: AgentSettings) {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val counters = SystemCounters()
    private val incarnation = Incarnation(Random.nextLong())
    private val network = PeerNetwork(
        LocalIdentity(
            PeerIdentity(
                settings.vm,
                Role.AGENT,
                settings.dataCentre,
                incarnation,
                settings.target,
            ),
            settings.peerSecret,
        ),
        ConnectionTiming(settings.heartbeatMilliseconds, settings.silenceMilliseconds),
        ::systemNow,
    )
    private val slots = SlotQueue(settings.slots, settings.queue, ::systemNow)
    private val runner = AttemptRunner(targetCaller(), slots, ::systemNow)
    private val tables = ServiceTables(
        PlatformReader(vertx, settings.configurationServiceUrl, settings.vmListUrl),
    )
    private val group =
        GroupAgent(settings, vertx, network, counters, tables::current, slots::setSlow)
    private val nextSession = AtomicLong()
    private val sessions = ConcurrentHashMap.newKeySet<EntrySession>()
    private val plannedStop = PlannedStop(
        settings.vm,
        settings.drainMilliseconds,
        ::systemNow,
        { sessions.sumOf { it.inFlight } },
        { leaving -> sessions.forEach { it.send(leaving) } },
    )

    /** Listens for entries and operators. */
    public suspend fun start() {
        val pages = mapOf("/v1/status" to { _: Map<String, String> -> statusText() })
        OperatorEndpoint(vertx, settings.operatorToken, counters, pages)
            .start(settings.operatorAddress)
        tables.start(scope)
        group.start(scope)
        network.listen(scope, settings.peerAddress, ::serve)
        Logger.info { "agent: target ${settings.target} listens on ${settings.peerAddress}" }
    }

    /** Takes no new work, waits for the attempts in flight and ends. */
    public suspend fun leave() {
        plannedStop.run()
        stop()
    }

    /** Ends at once. */
    public fun stop() {
        scope.cancel()
        network.close()
        vertx.close()
    }

    private suspend fun serve(connection: PeerConnection) {
        if (connection.remote.role == Role.AGENT) return group.serve(connection)
        val session = EntrySession(
            scope,
            nextSession.getAndIncrement(),
            connection,
            runner,
            plannedStop::refusesNewWork,
        )
        sessions += session
        plannedStop.leavingOrNull?.let { session.send(it) }
        val reason = connection.run({ Heartbeat(systemNow(), load = slots.load()) }) { frame ->
            if (!session.onFrame(frame)) counters.event("frame-unexpected")
        }
        sessions -= session
        session.end()
        counters.event("connection-${reason.code}")
    }

    private fun targetCaller(): TargetCaller = when (settings.targetType) {
        PoolType.MODEL -> ModelEngineCaller(vertx, settings.targetUrl, settings.slots).caller
        PoolType.SERVICE -> PlainServiceCaller(vertx, settings.targetUrl, settings.slots).caller
    }

    private fun statusText(): String =
        """{"vm":"${settings.vm}","target":"${settings.target}","incarnation":"$incarnation"}"""
}
