package org.vanilladale.agent

import io.vertx.core.Vertx
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import org.vanilladale.agent.rankgroup.GroupAgent
import org.vanilladale.agent.rollout.EngineLoads
import org.vanilladale.agent.rollout.RolloutAgent
import org.vanilladale.agent.rollout.RolloutPorts
import org.vanilladale.core.configuration.configurationStateSettings
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.rollout.RolloutState
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.ConfigurationSpread
import org.vanilladale.runtime.OperatorEndpoint
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.PlatformReader
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.AgentReport
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.PoolType
import org.vanilladale.schema.Role
import org.vanilladale.schema.RolloutReport
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
    private val configuration = ConfigurationHolder()
    private val spread = ConfigurationSpread(
        scope,
        configurationStateSettings(settings.vm, settings.dataCentre) {
            storedBy = settings.storedBy
            peersMilliseconds = settings.peersMilliseconds
        },
        PlatformReader(vertx, settings.configurationServiceUrl, settings.vmListUrl)::readTables,
        configuration,
        counters,
        ::systemNow,
        Random.Default,
    ) {}
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
    private val group =
        GroupAgent(settings, vertx, network, counters, { configuration.current }, ::onSlow)
    private val rollout = RolloutAgent(
        settings.target,
        EngineLoads(vertx, settings.targetUrl),
        counters,
        RolloutPorts(
            { configuration.current },
            { slots.load().let { it.running + it.waiting } },
            { sessions.isNotEmpty() },
            { report -> sessions.forEach { it.send(report) } },
            ::onModels,
            ::systemNow,
        ),
    )
    private val nextSession = AtomicLong()
    private val sessions = ConcurrentHashMap.newKeySet<EntrySession>()
    private val plannedStop: PlannedStop = PlannedStop(
        settings.vm,
        settings.drainMilliseconds,
        ::systemNow,
        { sessions.sumOf { it.inFlight } + bound.inFlight },
        { leaving -> sessions.forEach { it.send(leaving) } },
        { bound.isAsked },
    )

    /** Listens for entries and operators. */
    public suspend fun start() {
        val pages = mapOf("/v1/status" to { _: Map<String, String> -> statusText() })
        OperatorEndpoint(vertx, settings.operatorToken, counters, pages)
            .start(settings.operatorAddress)
        scope.launch { bound.forgetExpiredForever() }
        scope.launch { crashes.forgetExpiredForever() }
        spread.start()
        group.start(scope)
        network.listen(scope, settings.peerAddress, ::serve)
        if (settings.targetType == PoolType.MODEL) {
            scope.launch { cacheEvents().run() }
            rollout.start(scope)
        }
        Logger.info { "agent: target ${settings.target} listens on ${settings.peerAddress}" }
    }

    /** Takes no new work, waits for the attempts in flight and ends. */
    public suspend fun leave() {
        plannedStop.run()
        closeSessions()
        stop()
    }

    /** The last frames of ended attempts are written before the connections close. */
    private suspend fun closeSessions() {
        sessions.forEach { it.close() }
        withTimeoutOrNull(CLOSE_MILLISECONDS) {
            while (sessions.isNotEmpty()) delay(POLL_MILLISECONDS)
        }
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
            bound,
            ::refusesNewWork,
            slots,
        )
        sessions += session
        crashes.reports.forEach { session.send(it) }
        plannedStop.leavingOrNull?.let { session.send(it) }
        spread.connected(connection)
        val reason = connection.run(
            { spread.heartbeat(connection, Heartbeat(load = slots.load())) },
        ) { frame ->
            when {
                spread.onFrame(connection, frame) || frame is Heartbeat -> Unit
                frame is CrashReport -> crashes.onCrashReport(frame)
                frame is RolloutReport -> rollout.onReport(scope, frame)
                !session.onFrame(frame) -> counters.event("frame-unexpected")
            }
        }
        spread.disconnected(connection)
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
        reportLoad()
    }

    private fun onSlow(isSlow: Boolean) {
        if (slots.setSlow(isSlow)) reportLoad()
    }

    private fun onModels(state: RolloutState) {
        val loaded = state.loaded.takeIf { state.plan != null }
        val adapters = loaded?.adapters.orEmpty().map { it.name }
        slots.setModels(LoadedModels(!state.serving, loaded?.version, adapters))
        reportLoad()
    }

    private fun reportLoad() {
        sessions.forEach { it.send(Heartbeat(load = slots.load())) }
    }

    private fun refusesNewWork(): Boolean = plannedStop.refusesNewWork().also { refuses ->
        if (refuses) counters.refused(RefusalReason.LEAVING)
    }

    private fun targetCaller(): TargetCaller = when (settings.targetType) {
        PoolType.MODEL -> ModelEngineCaller(vertx, settings.targetUrl, settings.slots).caller
        PoolType.SERVICE -> PlainServiceCaller(vertx, settings.targetUrl, settings.slots).caller
    }

    private fun statusText(): String {
        val peers = spread.peers
        val report = AgentReport(
            settings.vm,
            settings.target,
            settings.dataCentre,
            incarnation,
            sessions.sumOf { it.inFlight },
            plannedStop.leavingOrNull != null,
            peers,
            peers.filter { it.role == Role.ENTRY }.map { it.vm },
            configuration.current?.revision,
            spread.digest,
            rollout.statusOrNull(),
        )
        return Json.encodeToString(AgentReport.serializer(), report)
    }

    private companion object {
        /** Bounds the wait for a peer that reads nothing. */
        const val CLOSE_MILLISECONDS = 1_000L
        const val POLL_MILLISECONDS = 10L
    }
}
