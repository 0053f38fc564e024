package org.vanilladale.gateway

import io.vertx.core.DeploymentOptions
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
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
import org.vanilladale.core.admission.BufferBudget
import org.vanilladale.core.crash.TraitSuspects
import org.vanilladale.core.gateway.AddressCandidate
import org.vanilladale.core.gateway.CallerAddresses
import org.vanilladale.core.gateway.CallerFacingEntries
import org.vanilladale.core.gateway.ExpertRole
import org.vanilladale.core.gateway.ExpertRoles
import org.vanilladale.core.gateway.FleetView
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.HomeTargets
import org.vanilladale.core.gateway.PeerEntry
import org.vanilladale.core.gateway.StorePosition
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.membership.entryIncarnation
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.runtime.steadyNow
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryBeat
import org.vanilladale.schema.EntryPhase
import org.vanilladale.schema.GatewaySettings
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/** Settings and components that a deployment supplies; see [gateway]. */
public class GatewayBuilder internal constructor() {
    /** Settings of the process. */
    public lateinit var settings: GatewaySettings

    /** Converts requests and answers to and from the protocol of the deployment. */
    public lateinit var dialect: RequestDialect

    /** Creates the reader of the platform's store. */
    public lateinit var store: (Vertx) -> StorePort

    /** Creates the client for ranks of groups. */
    public lateinit var ranks: (Vertx) -> RankPort

    /** Writes one line of the log. It may block. */
    public var writeLogLine: (String) -> Unit = ::println
}

/** Builds a gateway. */
public fun gateway(configure: GatewayBuilder.() -> Unit): Gateway =
    Gateway(GatewayBuilder().apply(configure))

/** A load balancer process that accepts requests from callers and forwards them to targets. */
public class Gateway internal constructor(builder: GatewayBuilder) {
    private val settings = builder.settings
    private val dialect = builder.dialect
    private val cores = settings.cores.coerceAtLeast(1)

    /** Event loops and timers of the process. The endpoints of the deployment use it as well. */
    public val vertx: Vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(cores))

    /** Counters and histograms of the process. */
    public val counters: SystemCounters = SystemCounters()

    private val clock = ::steadyNow
    private val random = Random.Default
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private val eventLog = EventLog(builder.writeLogLine, { counters.event("log-line-dropped") })
    private val log = GatewayLog(settings.vm, eventLog, clock)
    private val metrics = GatewayMetrics(counters)
    private val refusals = RefusalWriter(dialect, log, metrics, clock)
    private val incarnation = entryIncarnation(clock(), random)
    private val sequence = AtomicLong()
    private val directory = Locked(TargetDirectory())
    private val fleet = Locked(FleetView(settings.vm))

    /** Latest era of a peer for which the store was queried. */
    @Volatile
    private var queriedEra: StoreEra? = null
    private val storeCache = StoreCache(directory, log, clock, ::targetsChanged)
    private val storeWatcher =
        StoreWatcher(builder.store(vertx), storeCache, log, metrics, clock, random, ::peerEra)
    private val coldTargets = ColdTargets(
        settings.vm,
        directory,
        fleet,
        { pool -> storeCache.tables?.poolOrNull(pool)?.cold },
        { seeds.any { it != peerAddress(settings.ip) } },
        clock().deadlineAfter(MEMBERSHIP_MILLISECONDS),
        log,
        metrics,
    )
    private val dispatcher: PoolDispatcher = PoolDispatcher(
        settings.dataCentre,
        directory,
        fleet,
        clock,
        random,
        { homeTargets },
        { callerFacingEntries },
        coldTargets,
    ) { heartbeats.announceChange() }
    private val budget = FleetRetryBudget(settings, fleet, clock)
    private val answerBuffers =
        BufferBudget(Runtime.getRuntime().maxMemory() / ANSWER_BUFFER_DIVISOR)
    private val suspects = CrashWatch(TraitSuspects(), log, metrics, clock) {
        heartbeats.send()
    }
    private val statements =
        StatementWatch(directory, log, metrics, clock) { request, pauseEnd ->
            dispatcher.pauseBegan(request.pool.name)
            scope.launch {
                delay(pauseEnd.millisecondsLeft(clock()))
                dispatcher.retryWaiting()
            }
        }
    private val admission = RequestAdmission({ storeCache.tables }, ::isOutdated, random)

    private val mover = ExpertMover(
        builder.ranks(vertx),
        { storeCache.tables?.pools?.toList().orEmpty() },
        { pool -> directory.use { it.openGroups(pool.name) } },
        dispatcher::passTimingOrNull,
        ::expertRole,
        log,
        clock,
        random,
    )

    @Volatile
    private var seeds: List<SocketAddressText> = peerAddresses(settings.seeds)

    private val heartbeats: PeerHeartbeats = PeerHeartbeats(
        vertx,
        HeartbeatSource(
            settings.vm,
            peerAddress(settings.ip),
            { seeds },
            ::loadSubscribers,
            ::createHeartbeat,
        ),
        fleet,
        counters,
        log,
        clock,
        random,
        suspects::merge,
        ::peerUpdated,
    )

    private val callerServers = CallerServers(clock)

    private val plannedStop: GatewayStop = GatewayStop(
        settings,
        log,
        clock,
        { dispatcher.longestUsualMillisecondsOrNull(it) },
        { fleet.use { view -> view.live.any { it.isServing } } },
        callerServers::close,
    ) { heartbeats.send() }

    private val forwarderDependencies =
        ForwarderDependencies(dispatcher, budget, suspects, log, metrics, clock) {
            plannedStop.drain.refusalOrNull(it.head, it.pool, it.times, AcceptanceStep.SLOT)
        }

    @Volatile
    private var isServingCallers = false

    @Volatile
    private var homeTargets: Set<TargetId> = emptySet()

    @Volatile
    private var callerFacingEntries = 1

    /** True while callers may send requests to this entry. */
    public val isReady: Boolean get() = isServingCallers && !plannedStop.isLeaving

    /** Number of requests that have not been answered completely. */
    public val inFlight: Int get() = plannedStop.drain.inFlight

    /**
     * Contacts the peers, reads the store and then serves callers. Requests are refused until the
     * store has been read.
     */
    public suspend fun start() {
        heartbeats.start(scope)
        scope.launch { storeWatcher.run(scope) }
        val starting =
            StartingServer(vertx, dialect, refusals, clock).listen(settings.callerAddress)
        while (storeCache.tables == null || !storeCache.hasTargets) delay(START_POLL_MILLISECONDS)
        starting.close().coAwait()
        serveCallers(checkNotNull(storeCache.tables) { "The store has no configuration" })
        isServingCallers = true
        heartbeats.send()
        scope.launch { mover.run(scope) }
        scope.launch { updateHomeTargets() }
        val uptimeMilliseconds = ManagementFactory.getRuntimeMXBean().uptime
        log.log(GatewayEvent.Started(settings.dataCentre.text, uptimeMilliseconds))
    }

    /** Applies the seeds of [changed] settings. */
    public fun reload(changed: GatewaySettings) {
        seeds = peerAddresses(changed.seeds)
        log.log(GatewayEvent.Reloaded(changed.seeds.size))
        heartbeats.announceChange()
    }

    /** Logs that changed settings could not be used. The previous settings stay in effect. */
    public fun reloadFailed(fault: String) {
        log.log(GatewayEvent.Reloaded(seeds.size, fault))
    }

    /**
     * Stops accepting requests, waits for requests in flight, answers the rest, closes the
     * connections of callers and returns.
     */
    public suspend fun stop() {
        val logDeadline = plannedStop.run()
        eventLog.flush(logDeadline, clock)
    }

    /** Returns the addresses of the entries that a caller in data centre [near] should use. */
    public fun addressesFor(near: DataCentreName?): List<SocketAddressText> {
        val now = clock()
        val (live, lost) = fleet.use { view -> view.live.toList() to view.possiblyServing(now) }
        val addresses = (live + lost)
            .associate { it.heartbeat.vm to callerAddress(it.heartbeat.address.host) } +
            (settings.vm to settings.callerAddress)
        return CallerAddresses.choose(
            live.map { it.addressCandidate(now) } + ownCandidates(),
            lost.map { it.addressCandidate(now) },
            near,
            random,
            frontEntryIds(),
        ).mapNotNull(addresses::get)
    }

    private suspend fun serveCallers(tables: GatewayTables) {
        val dependencies = CallerServerDependencies(
            settings.callerAddress,
            tables.limits,
            dialect,
            admission,
            ::createForwarder,
            plannedStop.drain,
            callerServers,
            refusals,
            log,
            metrics,
            clock,
        )
        val options = DeploymentOptions().setInstances(cores)
        retryWhilePortIsTaken {
            vertx.deployVerticle(Supplier { CallerServer(dependencies) }, options).coAwait()
        }
    }

    /**
     * Repeats [listen] while the port is in use, because a closed listener releases its port with a
     * delay.
     */
    private suspend fun retryWhilePortIsTaken(listen: suspend () -> Unit) {
        val deadline = clock().deadlineAfter(LISTEN_TIMEOUT_MILLISECONDS)
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
            TargetExchange.createClient(vertx),
            TargetProbe(vertx),
            dialect,
            AttemptTimeouts(clock),
            answerBuffers,
            clock,
            statements::recordHead,
            suspects::recordAnswer,
        ) { request, target, gap ->
            metrics.recordGap(gap)
            dispatcher.observe(request.pool.name) { now -> recordGap(target.id, gap, now) }
        }
        return Forwarder(forwarderDependencies, attempts)
    }

    /** Returns the caller-facing entries among this one and the live peers that serve. */
    private fun frontEntries(): List<AddressCandidate> {
        val serving = fleet.use { view -> view.live.filter { it.isServing }.map(::candidateOf) } +
            ownCandidates()
        val chosen = CallerFacingEntries.choose(serving, directory.use { it.slots })
        return serving.filter { it.vm in chosen }
    }

    private fun frontEntryIds(): Set<VmId> = frontEntries().mapTo(HashSet()) { it.vm }

    /**
     * Returns the entries that need load changes immediately: the caller-facing entries and the
     * one that moves experts.
     */
    private fun loadSubscribers(): Set<VmId> {
        val serving = fleet.use { view ->
            view.live.filter { it.isServing }.map { it.heartbeat.vm }
        }
        val leader = (serving + ownCandidates().map { it.vm }).minByOrNull { it.text }
        return frontEntryIds() + setOfNotNull(leader)
    }

    private suspend fun updateHomeTargets() {
        while (true) {
            val targets = directory.use { it.placeable }
            val entries = frontEntries()
            homeTargets = HomeTargets.choose(settings.vm, entries, targets)
            callerFacingEntries = entries.size.coerceAtLeast(1)
            coldTargets.updateEntries(entries)
            // The limit of a cold target allows further requests without a release of a slot.
            if (coldTargets.isActive) dispatcher.retryWaiting()
            delay(HOME_TARGETS_MILLISECONDS)
        }
    }

    private fun ownCandidates() = if (isReady) {
        listOf(AddressCandidate(settings.vm, settings.dataCentre, true))
    } else {
        emptyList()
    }

    private fun candidateOf(peer: PeerEntry) =
        AddressCandidate(peer.heartbeat.vm, peer.heartbeat.dataCentre, peer.isServing)

    private fun createHeartbeat(peers: List<SocketAddressText>, interval: Long) = EntryBeat(
        settings.vm,
        peerAddress(settings.ip),
        settings.dataCentre,
        incarnation,
        sequence.incrementAndGet(),
        when {
            plannedStop.isLeaving -> EntryPhase.LEAVING
            isServingCallers -> EntryPhase.SERVING
            else -> EntryPhase.STARTING
        },
        storeCache.tables?.revision,
        storeCache.targetsPosition?.revision,
        dispatcher.shares(),
        dispatcher.waiting(),
        peers,
        interval,
        suspects.reports(),
        storeCache.era,
    )

    private fun expertRole(): ExpertRole = if (isReady) {
        fleet.use { ExpertRoles.roleOf(settings.vm, it.live, clock()) }
    } else {
        ExpertRole.NONE
    }

    private fun peerUpdated() {
        dispatcher.retryWaiting()
        val isEraNew = isNewPeerEra()
        if (isEraNew || storeCache.tables?.let(::isOutdated) == true) storeWatcher.refresh()
    }

    private fun peerEra() = fleet.use { it.highestStoreEra }

    /**
     * Returns whether a live peer knows a later era of the store, once for each era. The watcher
     * itself repeats calls that a store of an earlier era answers.
     */
    private fun isNewPeerEra(): Boolean {
        val era = peerEra()
        val isNew = StorePosition.isNewer(era, storeCache.era) && era != queriedEra
        if (isNew) queriedEra = era
        return isNew
    }

    /** Returns whether a live peer has a newer configuration than [tables]. */
    private fun isOutdated(tables: GatewayTables): Boolean =
        fleet.use { it.highestTablesRevision }?.let { it > tables.revision } == true

    private fun targetsChanged(gone: List<TargetId>) {
        dispatcher.forgetTargets(gone)
        metrics.counters.state(
            "evacuated-data-centres",
            directory.use { it.evacuations.dataCentres.size }.toDouble(),
        )
        dispatcher.evacuationsChanged()
        dispatcher.retryWaiting()
    }

    private fun peerAddresses(addresses: List<SocketAddressText>) =
        addresses.map { peerAddress(it.host) }

    private fun peerAddress(ip: String) =
        SocketAddressText.parse("$ip:${settings.internalPorts.first()}")

    private fun callerAddress(ip: String) =
        SocketAddressText.parse("$ip:${settings.callerAddress.port}")

    private companion object {
        const val START_POLL_MILLISECONDS = 10L

        /** Time within which heartbeats tell a new process of its live peers. */
        const val MEMBERSHIP_MILLISECONDS = 2_000L

        /** A quarter of the time after which a silent entry counts as lost. */
        const val HOME_TARGETS_MILLISECONDS = 250L

        /**
         * The port is released in the next iteration of the event loop, which takes a few
         * milliseconds under load.
         */
        const val LISTEN_RETRY_MILLISECONDS = 5L

        /** After this time the port is assumed to be used by another program. */
        const val LISTEN_TIMEOUT_MILLISECONDS = 2_000L

        /** Leaves three quarters of the memory to everything else. */
        const val ANSWER_BUFFER_DIVISOR = 4
    }
}
