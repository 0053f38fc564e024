package org.vanilladale.agent

import io.vertx.core.Vertx
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.runtime.OperatorEndpoint
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.CrashReport
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
    private val crashes = TargetCrashes(
        scope,
        settings.target,
        incarnation,
        ::systemNow,
        TargetHealth(vertx, settings.targetUrl)::acceptsConnections,
        ::onHealth,
    ) { report -> sessions.forEach { it.send(report) } }
    private val caller = crashes.watching(targetCaller())
    private val runner = AttemptRunner(caller, slots, ::systemNow)
    private val bound: BoundRunner = BoundRunner(
        scope,
        boundLedger(incarnation, settings.longestBindingMilliseconds),
        caller,
        slots,
        { plannedStop.refusesNewWork() },
        ::systemNow,
    )
    private val nextSession = AtomicLong()
    private val sessions = ConcurrentHashMap.newKeySet<EntrySession>()
    private val plannedStop: PlannedStop = PlannedStop(
        settings.vm,
        settings.drainMilliseconds,
        ::systemNow,
        { sessions.sumOf { it.inFlight } + bound.inFlight },
        { leaving -> sessions.forEach { it.send(leaving) } },
    )

    /** Listens for entries and operators. */
    public suspend fun start() {
        val pages = mapOf("/v1/status" to { _: Map<String, String> -> statusText() })
        OperatorEndpoint(vertx, settings.operatorToken, counters, pages)
            .start(settings.operatorAddress)
        scope.launch { bound.forgetExpiredForever() }
        scope.launch { crashes.forgetExpiredForever() }
        network.listen(scope, settings.peerAddress, ::serve)
        if (settings.targetType == PoolType.MODEL) scope.launch { cacheEvents().run() }
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
        val session = EntrySession(
            scope,
            nextSession.getAndIncrement(),
            connection,
            runner,
            bound,
            plannedStop::refusesNewWork,
        )
        sessions += session
        crashes.reports.forEach { session.send(it) }
        plannedStop.leavingOrNull?.let { session.send(it) }
        val reason = connection.run({ Heartbeat(systemNow(), load = slots.load()) }) { frame ->
            when {
                frame is CrashReport -> crashes.onCrashReport(frame)
                !session.onFrame(frame) -> counters.event("frame-unexpected")
            }
        }
        sessions -= session
        session.end()
        counters.event("connection-${reason.code}")
    }

    private fun cacheEvents() =
        CacheEventReader(vertx, settings.targetUrl, settings.target) { events ->
            sessions.forEach { it.send(events) }
        }

    /** Entries learn at once that the target takes no work, not with the next heartbeat. */
    private fun onHealth(isHealthy: Boolean) {
        slots.setHealthy(isHealthy)
        sessions.forEach { it.send(Heartbeat(systemNow(), load = slots.load())) }
    }

    private fun targetCaller(): TargetCaller = when (settings.targetType) {
        PoolType.MODEL -> ModelEngineCaller(vertx, settings.targetUrl, settings.slots).caller
        PoolType.SERVICE -> PlainServiceCaller(vertx, settings.targetUrl, settings.slots).caller
    }

    private fun statusText(): String =
        """{"vm":"${settings.vm}","target":"${settings.target}","incarnation":"$incarnation"}"""
}
