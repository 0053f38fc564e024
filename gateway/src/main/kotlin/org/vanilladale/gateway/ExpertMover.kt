package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.core.gateway.ExpertProfile
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.groupswitch.ChangeLimits
import org.vanilladale.core.groupswitch.GroupPlanner
import org.vanilladale.core.groupswitch.GroupProposal
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.Timestamp

/**
 * Moves the experts of a pool's groups while this entry leads.
 *
 * The lead is a matter of cost only: two entries that both lead do no harm, since each switch stops
 * at a rank that the other has touched.
 *
 * @param groups open groups of a pool with all their members, in the order of their ranks
 */
internal class ExpertMover(
    private val port: RankPort,
    private val pools: () -> List<GatewayPool>,
    private val groups: (GatewayPool) -> Map<GroupId, List<KnownTarget>>,
    private val leads: () -> Boolean,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val random: Random,
) {
    private val planner = GroupPlanner()
    private val states = HashMap<GroupId, GroupState>()
    private val holder = random.nextInt(Int.MAX_VALUE)
    private var leading = false
    private var turn = 0

    /** Share of each expert by set; null before the first sample. */
    private var demand: List<List<Double>>? = null

    /** Watches the demand and moves experts until [scope] ends. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            delay(SAMPLE_MILLISECONDS)
            val pool = pools().firstOrNull { it.engine?.experts != null }
            if (pool == null || !leads()) {
                lay(pool)
                continue
            }
            if (!leading) {
                leading = true
                log.log(GatewayEvent.ExpertLead(pool.name.text, true))
                // The entry that led before may be in the middle of a switch.
                delay(TAKE_OVER_MILLISECONDS)
            }
            sample(scope, pool)
        }
    }

    private fun lay(pool: GatewayPool?) {
        if (!leading) return
        leading = false
        demand = null
        log.log(GatewayEvent.ExpertLead(pool?.name?.text.orEmpty(), false))
        states.values.removeIf { it.job?.isActive != true }
    }

    private suspend fun sample(scope: CoroutineScope, pool: GatewayPool) {
        val profile = checkNotNull(pool.engine?.experts) { "Only pools with experts are sampled" }
        val members = groups(pool)
        states.keys.removeIf { it !in members }
        val current = members.map { (group, ranks) ->
            val epoch = checkNotNull(ranks.first().seat) { "Members have seats" }.epoch
            states[group]?.takeIf { it.epoch == epoch && it.ranks == ranks }
                ?: GroupState(group, epoch, ranks, profile).also { states[group] = it }
        }
        // The groups of a pool serve the same demand, so one of them tells for all.
        val state = current.getOrNull(turn % current.size.coerceAtLeast(1)) ?: return
        val chosen = port.chosen(state.sampled(random))
        if (chosen == null) turn++
        state.observe(chosen)?.let { demand = follow(it, profile) }
        // A report costs far less than counts and shows as well whether a group stands still.
        current.filter { it !== state }.forEach { other ->
            port.report(other.sampled(random))?.let { other.reached(it.step) }
        }
        current.filter { it.job?.isActive != true }.forEach { idle ->
            idle.job = scope.launch { tend(idle, profile) }
        }
    }

    private suspend fun tend(state: GroupState, profile: ExpertProfile) {
        val switch = MapSwitch(
            port,
            state.ranks,
            state.epoch,
            state.ranks[holder % state.ranks.size],
            clock,
            ::newVersion,
        ) { state.maps ?: readMaps(state) }
        if (state.needsCheck) {
            check(state, switch, if (state.isChecked) "no passes" else "maps not known")
            return
        }
        val tokens = demand ?: return
        val limits = ChangeLimits(profile.copiesAtOnce)
        val maps = state.maps ?: return
        val proposal = planner.planOrNull(maps, tokens, limits, clock()) ?: return
        change(state, switch, proposal, profile)
    }

    private fun copyMilliseconds(proposal: GroupProposal, profile: ExpertProfile): Long =
        (proposal.copiesOfRank * profile.copyMilliseconds).toLong()

    private suspend fun change(
        state: GroupState,
        switch: MapSwitch,
        proposal: GroupProposal,
        profile: ExpertProfile,
    ) {
        val startedAt = clock()
        val result = switch.run(proposal.maps, copyMilliseconds(proposal, profile))
        log.log(
            GatewayEvent.MapSwitched(
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
    private suspend fun check(state: GroupState, switch: MapSwitch, cause: String) {
        val reports = switch.reports() ?: return
        if (reports.values.any { !it.isClean }) {
            recover(state, switch, cause)
            return
        }
        // While a switch step passes, reports of different age name different versions.
        if (reports.values.distinctBy { it.mapVersion }.size > 1) return
        if (!state.isChecked) state.use(readMaps(state) ?: return)
        state.checked()
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

    /** Mixes what was chosen since the last sample into the shares of the experts of each set. */
    private fun follow(delta: List<Long>, profile: ExpertProfile): List<List<Double>>? {
        val sets = delta.map { it.toDouble() }.chunked(profile.experts)
        if (sets.size != profile.sets || sets.any { it.sum() < LEAST_CHOICES }) return demand
        val before = demand
        return sets.mapIndexed { set, tokens ->
            val total = tokens.sum()
            tokens.mapIndexed { expert, count ->
                val share = count / total
                if (before == null) share else share + KEPT * (before[set][expert] - share)
            }
        }
    }

    private companion object {
        /** Reads are priced, and demand shifts every few seconds on the days with shifts. */
        const val SAMPLE_MILLISECONDS = 300L

        /** A switch in progress ends within this time once its copies are loaded. */
        const val TAKE_OVER_MILLISECONDS = 700L

        /** Numbers of 53 bits pass through any JSON library. */
        const val VERSIONS_A_MILLISECOND = 4_000L

        /** Choices of a set in one sample from which its shares are certain enough. */
        const val LEAST_CHOICES = 2_000.0

        /** Weight of earlier samples: evens out single requests, yet follows a shift at once. */
        const val KEPT = 0.35
    }
}
