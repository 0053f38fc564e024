package org.vanilladale.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import io.vertx.core.Vertx
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import org.tinylog.kotlin.Logger
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.settings.SettingsText
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.OperatorEndpoint
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.PlatformReader
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.BindingAnswer
import org.vanilladale.schema.CacheEvents
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntryAddress
import org.vanilladale.schema.EntryList
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.Pool
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Role
import org.vanilladale.schema.Route
import org.vanilladale.schema.Tables
import org.vanilladale.schema.TargetId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork

/** The process on an entry VM: takes requests from callers and routes them to agents. */
public class Entry(private val settings: EntrySettings) {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val counters = SystemCounters()
    private val configuration = ConfigurationHolder()
    private val platform =
        PlatformReader(vertx, settings.configurationServiceUrl, settings.vmListUrl)
    private val network = PeerNetwork(
        LocalIdentity(
            PeerIdentity(
                settings.vm,
                Role.ENTRY,
                settings.dataCentre,
                Incarnation(Random.nextLong()),
            ),
            settings.peerSecret,
        ),
        ConnectionTiming(settings.heartbeatMilliseconds, settings.silenceMilliseconds),
        ::systemNow,
    )
    private val fleet = TargetFleet(settings)
    private val router = TargetRouter(::systemNow, Random.Default) { pool ->
        fleet.targetsOf(pool).filter(::isConnected)
    }
    private val links: AgentLinks = AgentLinks(scope, ::createLink)
    private val suspects = CrashSuspects(
        ::systemNow,
        { pool -> router.usable(pool, fleet.targetsOf(pool).filter(::isConnected)) },
        { report -> links.all.forEach { it.connection?.trySend(report) } },
        ::sendToAllPeers,
    )
    private val runner = RequestRunner(
        configuration,
        links,
        router,
        suspects,
        counters,
        AttemptTiming(settings.firstAnswerMilliseconds, settings.progressMilliseconds),
        fleet::capacity,
        ::systemNow,
    )

    private val bindings = BindingIssuer(configuration, fleet, router, ::systemNow, ::isConnected)
    private val bound = BoundRequestRunner(
        configuration,
        runner,
        BoundCalls(
            BoundLinks(links) { target -> createLink(target).also { it.start(scope) } },
            counters,
            settings.firstAnswerMilliseconds,
            ::systemNow,
            runner::newRequest,
        ) { pool, target, load -> router.reported(pool, target, load) },
        suspects,
        ::systemNow,
    )

    private val plannedStop = PlannedStop(
        settings.vm,
        settings.drainMilliseconds,
        ::systemNow,
        runner::inFlight,
    ) { leaving -> links.all.forEach { it.connection?.trySend(leaving) } }

    /** Listens for callers and operators and follows the configuration. */
    public suspend fun start() {
        val pages = mapOf(
            "/v1/status" to { _: Map<String, String> -> statusText() },
            "/v1/explain" to ExplainPage(configuration, fleet, links, router)::text,
        )
        OperatorEndpoint(vertx, settings.operatorToken, counters, pages)
            .start(settings.operatorAddress)
        scope.launch { while (isActive) followConfiguration() }
        scope.launch { suspects.forgetExpiredForever() }
        CallerEndpoint(vertx, scope, settings, counters, ::entryList, ::bind, ::serve).start()
        Logger.info { "entry: ${settings.vm} listens on ${settings.callerAddress}" }
    }

    /** Takes no new requests, waits for those in flight and ends. */
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

    private suspend fun serve(request: CallerRequest, sink: AnswerSink): Refusal? = when {
        bound.takes(request.head) -> bound.run(request, sink, plannedStop.refusesNewWork())
        plannedStop.refusesNewWork() -> Refusal(RefusalReason.LEAVING)
        else -> runner.run(request, sink)
    }

    private fun bind(head: CallerRequestHead): Either<Refusal, BindingAnswer> =
        if (plannedStop.refusesNewWork()) {
            Refusal(RefusalReason.LEAVING).left()
        } else {
            bindings.issue(head)
        }

    private suspend fun followConfiguration() {
        val published = platform.readTables(configuration.current?.revision, WATCH_MILLISECONDS)
        if (published == null) {
            delay(READ_PAUSE_MILLISECONDS)
            return
        }
        either {
            val routes = SettingsText.parse(ListSerializer(Route.serializer()), published.routes)
            val pools = SettingsText.parse(ListSerializer(Pool.serializer()), published.pools)
            Tables(published.revision, routes.bind(), pools.bind())
        }.fold({ Logger.warn { "configuration: ${it.message}" } }) { tables ->
            JoinedTables.fromTables(tables)
                .fold({ faults -> Logger.warn { "configuration: $faults" } }, ::putInForce)
        }
    }

    private fun putInForce(tables: JoinedTables) {
        if (!configuration.offer(tables)) return
        links.use(fleet.use(tables))
        Logger.info { "configuration: revision ${tables.revision} in force" }
    }

    private fun createLink(target: PoolTarget) = AgentLink(
        target,
        network,
        counters,
        { Heartbeat(systemNow()) },
        { connection -> onConnected(target.target, connection) },
        { _, frame -> onAgentFrame(target.target, frame) },
    )

    private fun onConnected(target: TargetId, connection: PeerConnection?) {
        if (connection == null) return
        suspects.onConnected(connection)
        val restarted = fleet.sawIncarnation(target, connection.remote.incarnation)
        if (restarted) fleet.poolsOf(target).forEach { router.forget(it, target) }
    }

    private fun onAgentFrame(target: TargetId, frame: Frame) {
        when (frame) {
            is Heartbeat -> frame.load?.let { load ->
                fleet.poolsOf(target).forEach { router.reported(it, target, load) }
            }

            is CacheEvents -> fleet.poolsOf(target).forEach { router.cacheChanged(it, frame) }

            is Leaving -> {
                val leavingAt = Deadline.fromEpochMilliseconds(frame.leavingAt.epochMilliseconds)
                fleet.poolsOf(target).forEach { router.markLeaving(it, target, leavingAt) }
            }

            is CrashReport -> onCrashReport(frame)

            else -> counters.event("frame-unexpected")
        }
    }

    private fun isConnected(target: TargetId) = links.linkOrNull(target)?.connection != null

    /** Takes a report of an agent or of another entry. */
    private fun onCrashReport(frame: CrashReport) {
        suspects.onCrashReport(frame)
    }

    /** Sends [report] to all other entries; agents relay it while entries hold no connections. */
    @Suppress("UnusedParameter")
    private fun sendToAllPeers(report: CrashReport) = Unit

    private fun entryList() = EntryList(
        listOf(EntryAddress(settings.callerAddress, settings.dataCentre)),
        systemNow().deadlineAfter(settings.keepEntriesMilliseconds),
    )

    private fun statusText(): String =
        """{"vm":"${settings.vm}","revision":${configuration.current?.revision?.value}}"""

    private companion object {
        const val WATCH_MILLISECONDS = 30_000L
        const val READ_PAUSE_MILLISECONDS = 1_000L
    }
}
