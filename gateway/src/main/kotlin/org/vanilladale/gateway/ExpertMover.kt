package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.core.gateway.ExpertProfile
import org.vanilladale.core.gateway.ExpertRole
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.GroupPasses
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.ChangeLimits
import org.vanilladale.core.groupswitch.DemandWatch
import org.vanilladale.core.groupswitch.ExpertDemand
import org.vanilladale.core.groupswitch.GroupDemand
import org.vanilladale.core.groupswitch.GroupPlanner
import org.vanilladale.core.groupswitch.GroupProposal
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Timestamp

/**
 * Moves the experts of a pool's groups while this entry leads.
 *
 * The roles are a matter of cost only: two entries that both lead do no harm, since each switch
 * stops at a rank that the other has touched.
 *
 * @param groups open groups of a pool with all their members, in the order of their ranks
 * @param passesOrNull how long the passes of a group of a pool last; null when no streams run
 */
internal class ExpertMover(
    private val port: RankPort,
    private val pools: () -> List<GatewayPool>,
    private val groups: (GatewayPool) -> Map<GroupId, List<KnownTarget>>,
    private val passesOrNull: (GatewayPool, List<KnownTarget>) -> GroupPasses?,
    private val role: () -> ExpertRole,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
) {
    private val planner = GroupPlanner()
    private val states = HashMap<GroupId, GroupState>()
    private val holder = random.nextInt(Int.MAX_VALUE)
    private val watch = DemandWatch(clock())
    private var leading = false

    /** Time from which this entry may lead; at its start it has yet to hear of earlier names. */
    private var leadsFrom = clock().deadlineAfter(MEETING_MILLISECONDS)
    private var reportsDue = clock().deadlineAfter(0)

    /** What the requests choose; null before the first counts. */
    private var demand: ExpertDemand? = null

    /** Watches the demand and moves experts until [scope] ends. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            delay(LOOK_MILLISECONDS)
            val pool = pools().firstOrNull { it.engine?.experts != null }
            when (if (pool == null) ExpertRole.NONE else role()) {
                ExpertRole.NONE -> stepDown(pool)

                ExpertRole.DEPUTY -> {
                    stepDown(pool)
                    pool?.let { watchOver(scope, it) }
                }

                ExpertRole.LEADER -> pool?.let { lead(scope, it) }
            }
        }
    }

    private suspend fun watchOver(scope: CoroutineScope, pool: GatewayPool) {
        val current = formations(pool)
        readReports(current)
        current.filter { it.isIdle && it.standsStill }.forEach { still ->
            still.job = scope.launch { free(still, switchOf(still)) }
        }
    }

    private suspend fun lead(scope: CoroutineScope, pool: GatewayPool) {
        if (!leadsFrom.hasPassed(clock())) return
        if (!leading) {
            leading = true
            log.log(GatewayEvent.ExpertLeadership(pool.name.text, true))
        }
        val current = formations(pool)
        readReports(current)
        current.filter { it.isIdle && it.needsCheck }.forEach { idle ->
            idle.job = scope.launch { check(idle, switchOf(idle)) }
        }
        val profile = profileOf(pool)
        // Reading takes a while, in which an earlier name may have begun to serve.
        if (readDemand(pool, profile, current) && role() == ExpertRole.LEADER) {
            val isBetter = current.map { plan(scope, pool, it, profile) }.any { it }
            watch.wasRead(isBetter, clock())
        }
    }

    private fun profileOf(pool: GatewayPool): ExpertProfile =
        checkNotNull(pool.engine?.experts) { "Only pools with experts have groups" }

    private fun stepDown(pool: GatewayPool?) {
        // The entry that leads now may be in the middle of a switch when this one is next to lead.
        leadsFrom = clock().deadlineAfter(TAKE_OVER_MILLISECONDS)
        if (!leading) return
        leading = false
        demand = null
        log.log(GatewayEvent.ExpertLeadership(pool?.name?.text.orEmpty(), false))
        states.values.removeIf { it.isIdle }
    }

    private fun formations(pool: GatewayPool): List<GroupState> {
        val profile = profileOf(pool)
        val members = groups(pool)
        states.keys.removeIf { it !in members }
        return members.map { (group, ranks) ->
            val epoch = checkNotNull(ranks.first().seat) { "Members have seats" }.epoch
            states[group]?.takeIf { it.epoch == epoch && it.ranks == ranks }
                ?: GroupState(group, epoch, ranks, profile).also { states[group] = it }
        }
    }

    /** Reads one report of each group, which shows whether it stands still. */
    private suspend fun readReports(current: List<GroupState>) {
        if (!reportsDue.hasPassed(clock())) return
        reportsDue = clock().deadlineAfter(REPORT_MILLISECONDS)
        current.forEach { state ->
            val report = port.report(state.reporter(random))
            if (report == null) state.missed() else state.reached(report.step)
        }
    }

    /**
     * Reads counts and the paces of ranks when some group is slow; true when what maps are planned
     * for is known better after that.
     */
    private suspend fun readDemand(
        pool: GatewayPool,
        profile: ExpertProfile,
        current: List<GroupState>,
    ): Boolean {
        // Nothing can be planned for a group whose maps were not read yet.
        val slowest = current.filter { it.maps != null }
            .mapNotNull { passesOrNull(pool, it.ranks)?.slowdown }
            .maxOrNull() ?: return false
        if (!watch.isDue(slowest, demand?.shares != null, clock())) return false
        val known = demand ?: ExpertDemand(profile.sets, profile.experts).also { demand = it }
        val isPaceNews = readPaces(current)
        val moved = sampleChoices(current)?.let(known::takeOrNull)
        val slowRanks = current.sumOf { it.slowRanks }
        log.log(GatewayEvent.ExpertDemandRead(pool.name.text, slowest, moved, slowRanks))
        val isKnownBetter = moved != null || (isPaceNews && known.shares != null)
        if (!isKnownBetter) watch.wasRead(betterMap = false, clock())
        return isKnownBetter
    }

    /** Reads how slow each rank is; true when some rank has turned slow or sound. */
    private suspend fun readPaces(current: List<GroupState>): Boolean = coroutineScope {
        current.map { state ->
            async {
                val paces = state.ranks.map { rank -> async { port.report(rank)?.pace } }.awaitAll()
                state.usePaces(paces)
            }
        }.awaitAll().any { it }
    }

    /** Plans better maps for a group that is at rest; true when it is switched or about to be. */
    private fun plan(
        scope: CoroutineScope,
        pool: GatewayPool,
        state: GroupState,
        profile: ExpertProfile,
    ): Boolean {
        if (!state.isIdle) return true
        val tokens = demand?.shares ?: return false
        val maps = state.maps ?: return false
        val limits = ChangeLimits(profile.copiesAtOnce)
        val wanted = GroupDemand(tokens, state.speed)
        val proposal = planner.planOrNull(maps, wanted, limits, clock()) ?: return false
        val pass = passesOrNull(pool, state.ranks)?.milliseconds
        state.job = scope.launch { change(state, switchOf(state), proposal, profile, pass) }
        return true
    }

    private fun switchOf(state: GroupState) = MapSwitch(
        port,
        state.ranks,
        state.epoch,
        state.ranks[holder % state.ranks.size],
        clock,
        ::newVersion,
    ) { state.maps ?: readMaps(state) }

    /** Returns what some ranks choose from now on for a short time, or null without an answer. */
    private suspend fun sampleChoices(states: List<GroupState>): List<Long>? = coroutineScope {
        val ranks = states.flatMap { it.ranks }.shuffled(random).take(RANKS_SAMPLED)
        val before = ranks.map { async { port.chosen(it) } }.awaitAll()
        delay(SAMPLE_MILLISECONDS)
        val after = ranks.map { async { port.chosen(it) } }.awaitAll()
        before.zip(after) { first, last -> first?.let { last?.since(it) } }
            .filterNotNull()
            .reduceOrNull { sum, counts -> sum.zip(counts, Long::plus) }
    }

    private fun copyMilliseconds(proposal: GroupProposal, profile: ExpertProfile): Long =
        (proposal.copiesOfRank * profile.copyMilliseconds).toLong()

    private suspend fun change(
        state: GroupState,
        switch: MapSwitch,
        proposal: GroupProposal,
        profile: ExpertProfile,
        passMilliseconds: Double?,
    ) {
        val startedAt = clock()
        val copies = copyMilliseconds(proposal, profile)
        val result = switch.run(proposal.maps, copies, passMilliseconds)
        log.log(
            GatewayEvent.MapSwitchEnded(
                state.group.text,
                switch.version,
                result.name.lowercase(),
                proposal.copies,
                proposal.skewBefore,
                proposal.skewAfter,
                clock().millisecondsSince(startedAt),
            ),
        )
        when (result) {
            SwitchResult.SWITCHED -> state.use(proposal.maps)
            SwitchResult.ABANDONED -> state.isChecked = false
            SwitchResult.UNSETTLED -> recover(state, switch, "switch unsettled")
        }
    }

    /** Reads the reports; frees the group from a switch left half done, or learns its maps. */
    private suspend fun check(state: GroupState, switch: MapSwitch) {
        val cause = if (state.isChecked) "no passes" else "maps not known"
        val reports = switch.reports() ?: return
        // The ranks switch by themselves when they begin the pass; till then nothing can be done.
        if (reports.values.all { it.heldAt == null } && reports.values.isArmedAlike) {
            delay(PENDING_MILLISECONDS)
            return
        }
        if (reports.values.any { !it.isClean }) {
            recover(state, switch, cause)
            return
        }
        // While a switch step passes, reports of different age name different versions.
        if (reports.values.distinctBy { it.mapVersion }.size > 1) return
        if (!state.isChecked) state.use(readMaps(state) ?: return)
        state.checked()
    }

    /** Frees a group that waits at a hold which nobody ends. */
    private suspend fun free(state: GroupState, switch: MapSwitch) {
        val reports = switch.reports() ?: return
        val next = reports.values.maxOf { it.step.value } + 1
        if (reports.values.any { it.heldAt?.value == next }) {
            recover(state, switch, "held without passes, freed by the deputy")
        }
        state.rested()
    }

    private suspend fun recover(state: GroupState, switch: MapSwitch, cause: String) {
        state.isChecked = false
        val recovered = switch.recover()
        log.log(GatewayEvent.GroupRecovered(state.group.text, recovered, cause))
    }

    private suspend fun readMaps(state: GroupState): List<ExpertMap>? {
        val held = coroutineScope { state.ranks.map { async { port.held(it) } }.awaitAll() }
        val current = held.filterNotNull().filter { it.epoch == state.epoch }
        val isWhole = current.size == state.ranks.size
        return if (isWhole && current.distinctBy { it.version }.size == 1) {
            state.mapsOf(current)
        } else {
            null
        }
    }

    /** Versions rise with time, and two entries never give one version to two maps. */
    private fun newVersion(above: Long): Long {
        val byTime = clock().epochMilliseconds * VERSIONS_A_MILLISECOND +
            random.nextLong(VERSIONS_A_MILLISECOND)
        return if (byTime > above) byTime else above + 1 + random.nextLong(VERSIONS_A_MILLISECOND)
    }

    private companion object {
        /** Half a pass of a busy group. */
        const val LOOK_MILLISECONDS = 50L

        /** A group that stands still shows within three reports. */
        const val REPORT_MILLISECONDS = 200L

        /** Time in which entries that start together hear of each other. */
        const val MEETING_MILLISECONDS = 1_000L

        /** A switch in progress ends within this time once its copies are loaded. */
        const val TAKE_OVER_MILLISECONDS = 700L

        /** Numbers of 53 bits pass through any JSON library. */
        const val VERSIONS_A_MILLISECOND = 4_000L

        /** Wait for the pass at which all ranks of a group switch; a slow one takes longer. */
        const val PENDING_MILLISECONDS = 200L

        /** A few passes of a busy group, so that each sampled rank has begun some requests. */
        const val SAMPLE_MILLISECONDS = 160L

        /** Single requests of one rank would mislead; each read is priced. */
        const val RANKS_SAMPLED = 4
    }
}
