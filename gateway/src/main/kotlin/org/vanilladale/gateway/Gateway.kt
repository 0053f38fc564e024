package org.vanilladale.gateway

import io.vertx.core.DeploymentOptions
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import java.lang.management.ManagementFactory
import java.net.BindException
import java.util.concurrent.atomic.AtomicLong
import java.util.function.Supplier
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.core.gateway.AddressCandidate
import org.vanilladale.core.gateway.CallerAddresses
import org.vanilladale.core.gateway.ExpertRole
import org.vanilladale.core.gateway.ExpertRoles
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.gateway.FrontEntries
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.PeerEntry
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.membership.entryIncarnation
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.steadyNow
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.GatewaySettings
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/** Parts of a gateway that a deployment supplies; see [gateway]. */
public class GatewayBuilder internal constructor() {
    /** Settings of the process. */
    public lateinit var settings: GatewaySettings

    /** How requests are spelled on the wire. */
    public lateinit var dialect: RequestDialect

    /** Creates the reader of the platform's store. */
    public lateinit var store: (Vertx) -> StorePort

    /** Creates the client for ranks of groups. */
    public lateinit var ranks: (Vertx) -> RankPort

    /** Writes one line of the log; it may block. */
    public var write: (String) -> Unit = ::println
}

/** Builds a gateway. */
public fun gateway(configure: GatewayBuilder.() -> Unit): Gateway =
    Gateway(GatewayBuilder().apply(configure))

/** The process that takes requests from callers and forwards them to targets itself. */
public class Gateway internal constructor(parts: GatewayBuilder) {
    private val settings = parts.settings
    private val dialect = parts.dialect
    private val cores = settings.cores.coerceAtLeast(1)

    /** Event loops and timers of the process; the deployment's own endpoints run on it as well. */
    public val vertx: Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(cores))

    /** Counters and histograms of the process. */
    public val counters: SystemCounters = SystemCounters()

    private val clock = ::steadyNow
    private val random = Random.Default
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private val lines = EventLog(parts.write, { counters.event("log-line-dropped") })
    private val log = GatewayLog(settings.vm, lines, clock)
    private val metrics = GatewayMetrics(counters)
    private val refusals = RefusalWriter(dialect, log, metrics, clock)
    private val incarnation = entryIncarnation(clock(), random)
    private val sequence = AtomicLong()
    private val directory = Locked(TargetDirectory())
    private val fleet = Locked(FleetView(settings.vm))
    private val knowledge = StoreCache(directory, log, clock, ::targetsChanged)
    private val follower =
        StoreWatcher(parts.store(vertx), knowledge, log, clock, random)
    private val dispatcher: PoolDispatcher =
        PoolDispatcher(settings.dataCentre, directory, fleet, clock, random) { beats.changed() }
    private val budget = FleetRetryBudget(settings, fleet, clock)
    private val admission = RequestAdmission({ knowledge.tables }, random)

    private val mover = ExpertMover(
        parts.ranks(vertx),
        { knowledge.tables?.pools?.toList().orEmpty() },
        { pool -> directory.use { it.openGroups(pool.name) } },
        dispatcher::passesOrNull,
        ::expertRole,
        log,
        clock,
        random,
    )

    @Volatile
    private var seeds: List<SocketAddressText> = peerAddresses(settings.seeds)

    private val beats: PeerHeartbeats = PeerHeartbeats(
        vertx,
        HeartbeatSource(
            settings.vm,
            peerAddress(settings.ip),
            { seeds },
            ::hurriedEntries,
            ::composeBeat,
        ),
        fleet,
        counters,
        log,
        clock,
        random,
        ::heardPeer,
    )

    private val stop: DrainState = DrainState(
        clock,
        { plannedStop.leavingOrNull != null },
        { plannedStop.refusesNewWork() },
    )
    private val plannedStop: PlannedStop = PlannedStop(
        settings.vm,
        drainMilliseconds(),
        clock,
        { stop.inFlight },
        { beats.send() },
        { stop.isAsked },
        NOTICE_MILLISECONDS,
    )

    @Volatile
    private var serves = false

    /** True while callers may be sent here. */
    public val isReady: Boolean get() = serves && plannedStop.leavingOrNull == null

    /** Joins the peers, reads the store and serves callers; until then it refuses them. */
    public suspend fun start() {
        beats.start(scope)
        scope.launch { follower.run(scope) }
        val starting =
            StartingServer(vertx, dialect, refusals, clock).listen(settings.callerAddress)
        while (knowledge.tables == null || !knowledge.hasTargets) delay(START_POLL_MILLISECONDS)
        starting.close().coAwait()
        serveCallers(checkNotNull(knowledge.tables) { "The configuration was read above" })
        serves = true
        beats.send()
        scope.launch { mover.run(scope) }
        val startedAt = ManagementFactory.getRuntimeMXBean().uptime
        log.log(GatewayEvent.Started(settings.dataCentre.text, startedAt))
    }

    /** Takes new seeds from changed settings. */
    public fun reload(changed: GatewaySettings) {
        seeds = peerAddresses(changed.seeds)
        log.log(GatewayEvent.Reloaded(changed.seeds.size))
        beats.changed()
    }

    /** Notes that changed settings could not be used; the old ones stay in force. */
    public fun reloadFailed(fault: String) {
        log.log(GatewayEvent.Reloaded(seeds.size, fault))
    }

    /** Takes no new requests, waits for those in flight and ends. */
    public suspend fun leave() {
        log.log(GatewayEvent.Stopping("began", stop.inFlight))
        plannedStop.run()
        log.log(GatewayEvent.Stopping("ended", stop.inFlight))
        lines.flush()
    }

    /** Returns the entries that a caller in data centre [near] is to use. */
    public fun addressesFor(near: DataCentreName?): List<SocketAddressText> {
        val (live, lost) = fleet.use { view -> view.live.toList() to view.lost.toList() }
        val addresses = (live + lost)
            .associate { it.beat.vm to callerAddress(it.beat.address.host) } +
            (settings.vm to settings.callerAddress)
        return CallerAddresses.choose(
            live.map(::candidate) + ownCandidates(),
            lost.map(::candidate),
            near,
            random,
            frontEntries(),
        ).mapNotNull(addresses::get)
    }

    private suspend fun serveCallers(tables: GatewayTables) {
        val parts = CallerServerDependencies(
            settings.callerAddress,
            tables.limits,
            dialect,
            admission,
            ::createForwarder,
            stop,
            refusals,
            log,
            metrics,
            clock,
        )
        val options = DeploymentOptions().setInstances(cores)
        whenPortIsFree {
            vertx.deployVerticle(Supplier { CallerServer(parts) }, options).coAwait()
        }
    }

    /** Repeats [listen] for a while: a closed listener frees its port some time after its close. */
    private suspend fun whenPortIsFree(listen: suspend () -> Unit) {
        val deadline = clock().deadlineAfter(MOST_LISTEN_MILLISECONDS)
        while (true) {
            try {
                return listen()
            } catch (taken: BindException) {
                if (deadline.hasPassed(clock())) throw taken
            }
            delay(LISTEN_RETRY_MILLISECONDS)
        }
    }

    private fun createForwarder(): Forwarder {
        val attempts = AttemptRunner(
            createClient(),
            dialect,
            AttemptTimeouts(clock),
            clock,
        ) { request, target, gap ->
            metrics.gap(gap)
            dispatcher.observe(request.pool.name) { now -> observedGap(target.id, gap, now) }
        }
        return Forwarder(dispatcher, attempts, budget, log, metrics, clock)
    }

    private fun createClient(): HttpClient = vertx.createHttpClient(
        HttpClientOptions().setKeepAlive(false).setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS),
    )

    /** Returns the entries that take callers, as far as this one knows. */
    private fun frontEntries(): Set<VmId> {
        val serving = fleet.use { view -> view.live.filter { it.isServing }.map(::candidate) }
        return FrontEntries.choose(serving + ownCandidates(), directory.use { it.places })
    }

    /** Returns the entries that need news of the load at once: also the one that moves experts. */
    private fun hurriedEntries(): Set<VmId> {
        val serving = fleet.use { view -> view.live.filter { it.isServing }.map { it.beat.vm } }
        val leader = (serving + ownCandidates().map { it.vm }).minByOrNull { it.text }
        return frontEntries() + setOfNotNull(leader)
    }

    private fun ownCandidates() = if (isReady) {
        listOf(AddressCandidate(settings.vm, settings.dataCentre, true))
    } else {
        emptyList()
    }

    private fun candidate(peer: PeerEntry) =
        AddressCandidate(peer.beat.vm, peer.beat.dataCentre, peer.isServing)

    private fun composeBeat(peers: List<SocketAddressText>, interval: Long) = EntryBeat(
        settings.vm,
        peerAddress(settings.ip),
        settings.dataCentre,
        incarnation,
        sequence.incrementAndGet(),
        when {
            plannedStop.leavingOrNull != null -> EntryPhase.LEAVING
            serves -> EntryPhase.SERVING
            else -> EntryPhase.STARTING
        },
        knowledge.tables?.revision,
        knowledge.targetsRevision,
        dispatcher.shares(),
        dispatcher.waiting(),
        peers,
        interval,
    )

    private fun expertRole(): ExpertRole = if (isReady) {
        fleet.use { ExpertRoles.roleOf(settings.vm, it.live, clock()) }
    } else {
        ExpertRole.NONE
    }

    private fun heardPeer() {
        dispatcher.retryWaiting()
        val newest = fleet.use { it.highestTablesRevision } ?: return
        val held = knowledge.tables?.revision
        if (held != null && newest > held) follower.hint()
    }

    private fun targetsChanged(gone: List<TargetId>) {
        dispatcher.forget(gone)
        dispatcher.retryWaiting()
    }

    private fun peerAddresses(control: List<SocketAddressText>) =
        control.map { peerAddress(it.host) }

    private fun peerAddress(ip: String) =
        SocketAddressText.parse("$ip:${settings.internalPorts.first()}")

    private fun callerAddress(ip: String) =
        SocketAddressText.parse("$ip:${settings.callerAddress.port}")

    /** Time for requests in flight after the notice; the end itself takes a moment. */
    private fun drainMilliseconds(): Long {
        val grace = (settings.graceSeconds * MILLISECONDS).toLong()
        return (grace - NOTICE_MILLISECONDS - EXIT_MILLISECONDS).coerceAtLeast(0)
    }

    private companion object {
        /** Callers keep a list of addresses for up to three times its lifetime of one second. */
        const val NOTICE_MILLISECONDS = 3_200L

        /** From the last answer to the end of the process. */
        const val EXIT_MILLISECONDS = 1_000L
        const val START_POLL_MILLISECONDS = 10L

        /** The next turn of the event loop frees the port; a busy one takes some ms. */
        const val LISTEN_RETRY_MILLISECONDS = 5L

        /** After this time the port is another program's. */
        const val MOST_LISTEN_MILLISECONDS = 2_000L
        const val MILLISECONDS = 1_000

        /** Places at targets bound the connections; this only bounds a fault in that. */
        const val MOST_CONNECTIONS = 256
    }
}
