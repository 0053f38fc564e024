package org.vanilladale.entry

import arrow.core.Either
import arrow.core.left
import io.vertx.core.Vertx
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import org.vanilladale.core.configuration.JoinedTables
import org.vanilladale.core.configuration.configurationStateSettings
import org.vanilladale.core.membership.entryIncarnation
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.routing.SubsetEntry
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.runtime.ConfigurationSpread
import org.vanilladale.runtime.OperatorEndpoint
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.PlatformReader
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.systemNow
import org.vanilladale.schema.BindingAnswer
import org.vanilladale.schema.CacheEvents
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.EntrySettings
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Heartbeat
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.Role
import org.vanilladale.schema.RolloutReport
import org.vanilladale.schema.TargetId
import org.vanilladale.transport.ConnectionTiming
import org.vanilladale.transport.LocalIdentity
import org.vanilladale.transport.PeerConnection
import org.vanilladale.transport.PeerIdentity
import org.vanilladale.transport.PeerNetwork

/** The process on an entry VM, which receives requests from callers and routes them to agents. */
public class Entry(private val settings: EntrySettings) {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val counters = SystemCounters()
    private val configuration = ConfigurationHolder()
    private val platform =
        PlatformReader(vertx, settings.configurationServiceUrl, settings.vmListUrl)
    private val incarnation = entryIncarnation(systemNow(), Random.Default)
    private val network = PeerNetwork(
        LocalIdentity(
            PeerIdentity(settings.vm, Role.ENTRY, settings.dataCentre, incarnation),
            settings.peerSecret,
        ),
        ConnectionTiming(settings.heartbeatMilliseconds, settings.silenceMilliseconds),
        ::systemNow,
    )
    private val fleet = TargetFleet(settings)
    private val router = TargetRouter(::systemNow, Random.Default) { pool ->
        fleet.targetsOf(pool).filter(::isConnected)
    }
    private val spread = ConfigurationSpread(
        scope,
        configurationStateSettings(settings.vm, settings.dataCentre) {
            storedBy = settings.storedBy
            peersMilliseconds = settings.peersMilliseconds
        },
        platform::readTables,
        configuration,
        counters,
        ::systemNow,
        Random.Default,
        ::applyTables,
    )
    private val suspects: CrashSuspects = CrashSuspects(
        ::systemNow,
        { pool -> router.usable(pool, fleet.targetsOf(pool).filter(::isConnected)) },
        { report -> links.all.forEach { it.connection?.trySend(report) } },
        { report -> peers.sendToAll(report) },
    )
    private val peers: EntryPeers = EntryPeers(
        scope,
        settings,
        incarnation,
        network,
        spread,
        counters,
        platform::readVms,
        suspects::onConnected,
        ::onEntryFrame,
        ::leaveAfterReplacement,
        ::applyEntries,
    )
    private val links: AgentLinks = AgentLinks(scope, ::createLink)
    private val rollouts = RolloutReports(fleet, links)
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
    private val boundRunner = BoundRequestRunner(
        configuration,
        runner,
        BoundCalls(
            BoundLinks(scope, links) { target -> createLink(target).also { it.start(scope) } },
            counters,
            settings.firstAnswerMilliseconds,
            ::systemNow,
            runner::newRequest,
        ) { pool, target, load -> router.reported(pool, target, load) },
        suspects,
        ::systemNow,
    )

    private val endpoint: CallerEndpoint = CallerEndpoint(
        vertx,
        scope,
        settings,
        counters,
        peers.membership::listFor,
        ::bind,
        ::serve,
        { plannedStop.leavingOrNull != null },
    )
    private val plannedStop: PlannedStop = PlannedStop(
        settings.vm,
        settings.drainMilliseconds,
        ::systemNow,
        endpoint::inFlight,
        ::announce,
        endpoint::hasRecentRequests,
    )
    private val targetReports = TargetReports(fleet, links, router)
    private val statusPage = EntryStatusPage(
        settings,
        incarnation,
        configuration,
        spread,
        peers.membership,
        targetReports,
    )

    /** Starts the caller, peer and operator endpoints and the updates of the configuration. */
    public suspend fun start() {
        val pages = mapOf(
            "/v1/status" to { _: Map<String, String> -> statusText() },
            "/v1/explain" to ExplainPage(configuration, targetReports)::text,
        )
        OperatorEndpoint(vertx, settings.operatorToken, counters, pages)
            .start(settings.operatorAddress)
        spread.start()
        peers.start(EntryReadiness({ configuration.current != null }, ::areLinksConnected))
        scope.launch { suspects.removeExpiredPeriodically() }
        endpoint.start()
        Logger.info { "entry: ${settings.vm} listens on ${settings.callerAddress}" }
    }

    /** Refuses new requests, waits for those in flight to finish, and stops. */
    public suspend fun leave() {
        plannedStop.run()
        stop()
    }

    /** Stops immediately, without waiting for requests in flight. */
    public fun stop() {
        scope.cancel()
        network.close()
        vertx.close()
    }

    private suspend fun serve(request: CallerRequest, sink: AnswerSink): Refusal? = when {
        boundRunner.handles(request.head) ->
            boundRunner.run(request, sink, plannedStop.refusesNewWork())

        plannedStop.refusesNewWork() -> Refusal(RefusalReason.LEAVING)

        else -> runner.run(request, sink)
    }

    private fun bind(head: CallerRequestHead): Either<Refusal, BindingAnswer> =
        if (plannedStop.refusesNewWork()) {
            Refusal(RefusalReason.LEAVING).left()
        } else {
            bindings.issue(head)
        }

    private fun applyTables(tables: JoinedTables) {
        synchronized(fleet) { links.update(fleet.assign(tables)) }
    }

    /** Recomputes the target subsets, which depend on the number and identity of the entries. */
    private fun applyEntries(entries: List<SubsetEntry>) {
        synchronized(fleet) {
            fleet.entries = entries
            configuration.current?.let { links.update(fleet.assign(it)) }
        }
    }

    /**
     * Stops after another process has replaced this one. The planned stop lets requests in flight
     * finish, while the new process serves new requests.
     */
    private fun leaveAfterReplacement() {
        scope.launch { leave() }
    }

    private fun announce(leaving: Leaving) {
        links.all.forEach { it.connection?.trySend(leaving) }
        peers.membership.leave()
    }

    private fun createLink(target: PoolTarget) = AgentLink(
        target,
        network,
        counters,
        { connection -> spread.heartbeat(connection, Heartbeat()) },
        { connection -> onConnected(target.target, connection) },
        spread::disconnected,
        { connection, frame ->
            if (!spread.onFrame(connection, frame)) onAgentFrame(target.target, frame)
        },
        { suspected -> onSuspicion(target.target, suspected) },
    )

    private fun onSuspicion(target: TargetId, suspected: Boolean) {
        fleet.poolsOf(target).forEach { pool ->
            if (suspected) router.markUnavailable(pool, target) else router.clear(pool, target)
        }
    }

    private fun onConnected(target: TargetId, connection: PeerConnection) {
        spread.connected(connection)
        suspects.onConnected(connection)
        val restarted = fleet.recordIncarnation(target, connection.remote.incarnation)
        // A link to a previous address of the target may have marked the target as unavailable.
        onSuspicion(target, suspected = false)
        if (restarted) {
            fleet.poolsOf(target).forEach { router.forget(it, target) }
            rollouts.forget(target)
        }
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

            is CrashReport -> suspects.onCrashReport(frame)

            is RolloutReport -> rollouts.onReport(target, frame)

            else -> counters.event("frame-unexpected")
        }
    }

    private fun areLinksConnected() = links.all.all { it.connection != null }

    private fun isConnected(target: TargetId) = links.linkOrNull(target)?.connection != null

    /** Handles a frame from another entry. Returns false if the frame type is not expected. */
    private fun onEntryFrame(frame: Frame): Boolean {
        if (frame !is CrashReport) return false
        suspects.onCrashReport(frame)
        return true
    }

    private fun statusText(): String =
        statusPage.text(endpoint.inFlight, plannedStop.leavingOrNull != null)
}
