package org.vanilladale.gateway

import kotlin.coroutines.CoroutineContext
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.vanilladale.core.gateway.ExpertProfile
import org.vanilladale.core.gateway.ExpertRole
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.PassTiming
import org.vanilladale.core.groupswitch.ChangeLimits
import org.vanilladale.core.groupswitch.DemandReadSchedule
import org.vanilladale.core.groupswitch.ExpertDemand
import org.vanilladale.core.groupswitch.GroupDemand
import org.vanilladale.core.groupswitch.GroupPlanner
import org.vanilladale.core.groupswitch.GroupProposal
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Timestamp

/**
 * Moves the experts of a pool's groups while this entry is the leader.
 *
 * The roles only avoid redundant work. Two entries that lead at the same time do no harm, because a
 * switch stops at any rank that the other entry has changed.
 *
 * @param groups open groups of a pool with all their members, in the order of their ranks
 * @param planningContext context for computations that would block an event loop
 * @param passTimingOrNull durations of the passes of a group in a pool, or null while no streams
 *   run
 */
internal class ExpertMover(
    private val port: RankPort,
    private val pools: () -> List<GatewayPool>,
    private val groups: (GatewayPool) -> Map<GroupId, List<KnownTarget>>,
    private val passTimingOrNull: (GatewayPool, List<KnownTarget>) -> PassTiming?,
    private val role: () -> ExpertRole,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val planningContext: CoroutineContext = Dispatchers.Default,
) {
    private val planner = GroupPlanner()
    private val states = HashMap<GroupId, GroupState>()
    private val holderIndex = random.nextInt(Int.MAX_VALUE)
    private val demandReadSchedule = DemandReadSchedule(clock())
    private var isLeading = false

    /**
     * Time from which this entry may lead. An entry that has just started has not yet discovered
     * whether an entry with an earlier name is running.
     */
    private var mayLeadFrom = clock().deadlineAfter(DISCOVERY_MILLISECONDS)
    private var nextReportAt = clock().deadlineAfter(0)

    /** Expert demand of the requests, or null until this entry, as the leader, first reads it. */
    private var demand: ExpertDemand? = null

    /** Monitors the demand and moves experts until [scope] ends. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            delay(POLL_INTERVAL_MILLISECONDS)
            val pool = pools().firstOrNull { it.engine?.experts != null }
            when (if (pool == null) ExpertRole.NONE else role()) {
                ExpertRole.NONE -> stepDown(pool)

                ExpertRole.DEPUTY -> {
                    stepDown(pool)
                    pool?.let { monitorAsDeputy(scope, it) }
                }

                ExpertRole.LEADER -> pool?.let { runAsLeader(scope, it) }
            }
        }
    }

    private suspend fun monitorAsDeputy(scope: CoroutineScope, pool: GatewayPool) {
        val current = currentGroups(pool)
        pollGroups(current)
        current.filter { it.isIdle && it.isStalled }.forEach { stalled ->
            stalled.job = scope.launch { releaseIfHeld(stalled, createSwitch(stalled)) }
        }
    }

    private suspend fun runAsLeader(scope: CoroutineScope, pool: GatewayPool) {
        if (!mayLeadFrom.hasPassed(clock())) return
        if (!isLeading) {
            isLeading = true
            log.log(GatewayEvent.ExpertLeadership(pool.name.text, true))
        }
        val current = currentGroups(pool)
        pollGroups(current)
        current.filter { it.isIdle && it.needsCheck }.forEach { idle ->
            idle.job = scope.launch { checkGroup(idle, createSwitch(idle)) }
        }
        val profile = profileOf(pool)
        // Reading the demand takes time, and an entry with an earlier name may have started
        // meanwhile.
        if (readDemand(pool, profile, current) && role() == ExpertRole.LEADER) {
            val isBetter = planAll(scope, current, profile)
            demandReadSchedule.recordRead(isBetter, clock())
        }
    }

    private fun profileOf(pool: GatewayPool): ExpertProfile =
        checkNotNull(pool.engine?.experts) { "Engine profile has no experts" }

    private fun stepDown(pool: GatewayPool?) {
        // When this entry becomes the leader, the previous leader may still be in the middle of a
        // switch.
        mayLeadFrom = clock().deadlineAfter(TAKEOVER_DELAY_MILLISECONDS)
        if (!isLeading) return
        isLeading = false
        demand = null
        log.log(GatewayEvent.ExpertLeadership(pool?.name?.text.orEmpty(), false))
        states.values.removeIf { it.isIdle }
    }

    private fun currentGroups(pool: GatewayPool): List<GroupState> {
        val profile = profileOf(pool)
        val members = groups(pool)
        states.keys.removeIf { it !in members }
        return members.map { (group, ranks) ->
            val epoch = checkNotNull(ranks.first().seat) { "Group member has no seat" }.epoch
            states[group]?.takeIf { it.epoch == epoch && it.ranks == ranks }
                ?: GroupState(group, epoch, ranks, profile).also { states[group] = it }
        }
    }

    /** Reads one report per group to detect groups that have stalled. */
    private suspend fun pollGroups(current: List<GroupState>) {
        if (!nextReportAt.hasPassed(clock())) return
        nextReportAt = clock().deadlineAfter(REPORT_INTERVAL_MILLISECONDS)
        current.forEach { state ->
            val report = port.report(state.reporter(random))
            if (report == null) state.recordMissingReport() else state.recordStep(report.step)
        }
    }

    /**
     * Reads expert usage and rank speeds if any group is slow. Returns true when this improved the
     * data from which maps are planned.
     */
    private suspend fun readDemand(
        pool: GatewayPool,
        profile: ExpertProfile,
        current: List<GroupState>,
    ): Boolean {
        // Maps can only be planned for groups whose current maps are known.
        val slowest = current.filter { it.maps != null }
            .mapNotNull { passTimingOrNull(pool, it.ranks)?.slowdown }
            .maxOrNull() ?: return false
        if (!demandReadSchedule.isDue(slowest, demand?.shares != null, clock())) return false
        val currentDemand =
            demand ?: ExpertDemand(profile.layerSets, profile.expertsPerSet).also { demand = it }
        val moved = sampleUsage(current)?.let(currentDemand::observeOrNull)
        // A shift explains why the group is slow, and reading the paces of all ranks takes time.
        val isShift = moved != null && currentDemand.isShift
        val isSpeedChanged = !isShift && readPaces(current)
        val slowRanks = current.sumOf { it.slowRanks }
        log.log(GatewayEvent.ExpertDemandRead(pool.name.text, slowest, moved, slowRanks))
        val isKnownBetter = moved != null || (isSpeedChanged && currentDemand.shares != null)
        if (!isKnownBetter) demandReadSchedule.recordRead(foundBetterMap = false, clock())
        return isKnownBetter
    }

    /** Reads the speed of each rank. Returns true when a rank has become slow or recovered. */
    private suspend fun readPaces(current: List<GroupState>): Boolean = coroutineScope {
        current.map { state ->
            async {
                val paces = state.ranks.map { rank -> async { port.report(rank)?.pace } }.awaitAll()
                state.updateSpeed(paces)
            }
        }.awaitAll().any { it }
    }

    /**
     * Plans better maps for the groups that are not being switched or checked, and starts switches
     * to them. Returns true when a switch was started, or a switch or check was in progress.
     */
    private suspend fun planAll(
        scope: CoroutineScope,
        current: List<GroupState>,
        profile: ExpertProfile,
    ): Boolean {
        val tokens = demand?.shares ?: return false
        val limits = ChangeLimits(profile.maxCopiesPerChange, profile.copyMilliseconds)
        val idle = current.filter { it.isIdle && it.maps != null }
        // Groups of one pool mostly have the same maps. Planning for a hundred ranks takes a tenth
        // of a second, in which the event loop serves callers.
        val proposals = withContext(planningContext) {
            idle.groupBy { it.maps to it.speed.slowdowns() }.flatMap { (_, alike) ->
                val maps = checkNotNull(alike.first().maps) { "Groups without maps are left out" }
                val proposal =
                    planner.planOrNull(maps, GroupDemand(tokens, alike.first().speed), limits)
                alike.mapNotNull { state -> proposal?.let { state to it } }
            }
        }
        proposals.forEach { (state, proposal) ->
            state.job = scope.launch {
                switchMaps(state, createSwitch(state), proposal, profile)
            }
        }
        return proposals.isNotEmpty() || idle.size < current.size
    }

    private fun createSwitch(state: GroupState) = MapSwitch(
        port,
        state.ranks,
        state.epoch,
        state.ranks[holderIndex % state.ranks.size],
        clock,
        { above -> newVersion(maxOf(above, state.highestVersion)) },
    ) { state.maps ?: readMaps(state) }

    /**
     * Returns the expert usage of each of a few ranks over a short time, or null when none of them
     * answered.
     */
    private suspend fun sampleUsage(states: List<GroupState>): List<List<Long>>? = coroutineScope {
        val all = states.flatMap { it.ranks }
        val sampled = (all.size / RANKS_PER_SAMPLED_RANK).coerceIn(sampledRanks)
        val ranks = all.shuffled(random).take(sampled)
        val before = ranks.map { async { port.expertUsage(it) } }.awaitAll()
        delay(SAMPLE_MILLISECONDS)
        val after = ranks.map { async { port.expertUsage(it) } }.awaitAll()
        before.zip(after) { first, last -> first?.let { last?.countsSince(it) } }
            .filterNotNull()
            .ifEmpty { null }
    }

    private fun copyMilliseconds(proposal: GroupProposal, profile: ExpertProfile): Long =
        (proposal.copiesOfBusiestRank * profile.copyMilliseconds).toLong()

    private suspend fun switchMaps(
        state: GroupState,
        switch: MapSwitch,
        proposal: GroupProposal,
        profile: ExpertProfile,
    ) {
        val startedAt = clock()
        val copies = copyMilliseconds(proposal, profile)
        val result = switch.switchTo(proposal.maps, copies)
        state.recordVersion(switch.version)
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
            SwitchResult.SWITCHED -> {
                state.setMaps(proposal.maps)
                // Reports from before the switch step look like those of a stalled group.
                state.resetStallCount()
            }

            SwitchResult.ABANDONED -> state.isChecked = false
            SwitchResult.UNSETTLED -> recover(state, switch, "switch unsettled")
        }
    }

    /**
     * Reads the reports of all ranks. Recovers the group from an unfinished switch, or reads its
     * maps if they are unknown.
     */
    private suspend fun checkGroup(state: GroupState, switch: MapSwitch) {
        val cause = if (state.isChecked) "no passes" else "maps not known"
        val reports = switch.readReports() ?: return
        reports.values.forEach { state.recordVersion(it.highestVersion) }
        // All ranks are armed alike and switch by themselves at the switch step.
        if (reports.values.all { it.heldAt == null } && reports.values.haveSameArmedVersion) {
            delay(SWITCH_WAIT_MILLISECONDS)
            return
        }
        if (reports.values.any { !it.isSettled }) {
            recover(state, switch, cause)
            return
        }
        // Reports of different ages show different versions while the group passes a switch step.
        if (reports.values.distinctBy { it.mapVersion }.size > 1) return
        if (!state.isChecked) state.setMaps(readMaps(state) ?: return)
        state.markChecked()
    }

    /** Recovers a group that is held at its next pass. */
    private suspend fun releaseIfHeld(state: GroupState, switch: MapSwitch) {
        val reports = switch.readReports() ?: return
        val next = reports.values.maxOf { it.step.value } + 1
        if (reports.values.any { it.heldAt?.value == next }) {
            recover(state, switch, "held without passes, freed by the deputy")
        }
        state.resetStallCount()
    }

    private suspend fun recover(state: GroupState, switch: MapSwitch, cause: String) {
        state.isChecked = false
        val recovered = switch.recover()
        log.log(GatewayEvent.GroupRecovered(state.group.text, recovered, cause))
    }

    private suspend fun readMaps(state: GroupState): List<ExpertMap>? {
        val loaded = state.ranks.collectAnswers { port.loadedExperts(it) }?.values.orEmpty()
        val current = loaded.filter { it.epoch == state.epoch }
        val isWhole = current.size == state.ranks.size
        return if (isWhole && current.distinctBy { it.version }.size == 1) {
            state.mapsOf(current)
        } else {
            null
        }
    }

    /**
     * Returns a version above [above]. Versions increase with time and contain a random part, so
     * that two entries do not use the same version for two maps.
     */
    private fun newVersion(above: Long): Long {
        val next = clock().epochMilliseconds * VERSIONS_PER_MILLISECOND +
            random.nextLong(VERSIONS_PER_MILLISECOND)
        return if (next > above) next else above + 1 + random.nextLong(VERSIONS_PER_MILLISECOND)
    }

    private companion object {
        /** Half the duration of a pass of a busy group. */
        const val POLL_INTERVAL_MILLISECONDS = 50L

        /** A stalled group is detected after three reports. */
        const val REPORT_INTERVAL_MILLISECONDS = 200L

        /** Time within which entries that start together discover each other. */
        const val DISCOVERY_MILLISECONDS = 1_000L

        /** A switch in progress ends within this time once its copies are loaded. */
        const val TAKEOVER_DELAY_MILLISECONDS = 700L

        /** Keeps versions within 53 bits, which every JSON library represents exactly. */
        const val VERSIONS_PER_MILLISECOND = 4_000L

        /**
         * Time until an armed group normally reaches its switch step. If passes are slower, the
         * group is checked again.
         */
        const val SWITCH_WAIT_MILLISECONDS = 200L

        /** A few passes of a busy group, so that each sampled rank has started some requests. */
        const val SAMPLE_MILLISECONDS = 160L

        /**
         * More than one, because single requests would dominate the sample of one rank, but few,
         * because each read is charged for.
         */
        val sampledRanks = 4..8
        const val RANKS_PER_SAMPLED_RANK = 24
    }
}
