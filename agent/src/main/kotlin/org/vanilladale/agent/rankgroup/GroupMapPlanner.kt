package org.vanilladale.agent.rankgroup

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.ExpertPopularity
import org.vanilladale.core.placement.PlacementInput
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementState
import org.vanilladale.core.placement.PopularityOptions
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.core.placement.RankSpeedOptions
import org.vanilladale.core.rankgroup.GroupMap
import org.vanilladale.core.rankgroup.MapBase
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/**
 * Collects the load reports of a group and plans its next expert map, separately for each layer.
 *
 * This class isn't thread-safe and is used by one coroutine only.
 */
internal class GroupMapPlanner(private val rankCount: Int, settings: AgentSettings) {
    private class Layer(val state: PlacementState, val popularity: ExpertPopularity)

    private val options = PlacementOptions(
        coolDownMilliseconds = settings.planCoolDownMilliseconds,
        budgetPeriodMilliseconds = settings.movePeriodMilliseconds,
    )
    private val popularityOptions = PopularityOptions(
        timeConstantMilliseconds = settings.popularityMilliseconds,
    )
    private val planner = PlacementPlanner(options)
    private var speed = RankSpeed.even(
        rankCount,
        RankSpeedOptions(timeConstantMilliseconds = settings.popularityMilliseconds),
    )
    private var layers = emptyList<Layer>()
    private var replacedDigest: Digest? = null

    /**
     * Records the reported [tokens] of each expert and the step times by rank, and returns a better
     * map, or null if there is none.
     */
    fun proposeOrNull(
        activeMap: ActiveEngineMap,
        tokens: List<Double>,
        stepMilliseconds: List<Double>,
        skewWeight: Double,
        now: Timestamp,
    ): GroupProposal? {
        // The engine reports the replaced map until the switch step. The cool-down doesn't prevent
        // a second proposal for that map, because urgent changes ignore it.
        if (activeMap.digest == replacedDigest) return null
        val maps = layerMapsOrNull(activeMap) ?: return null
        if (tokens.size != activeMap.map.expertCount) return null
        val counts = tokens.chunked(tokens.size / maps.size)
        layers = maps.mapIndexed { index, map -> observeLayer(index, map, counts[index], now) }
        speed = speed.observe(rankLoads(maps, counts), stepMilliseconds, now)
        val proposals = layers.map {
            val input = PlacementInput(it.state, it.popularity, speed, skewWeight, now)
            planner.plan(input).getOrNull()
        }
        if (proposals.all { it == null }) return null
        val map = GroupMap.ofLayers(maps.indices.map { proposals[it]?.map ?: maps[it] })
        return GroupProposal(map, MapBase(activeMap.digest, activeMap.map), proposals)
    }

    /**
     * Records that the group switches to [proposal]. The cool-down applies to all layers, because
     * otherwise each layer in turn could switch the whole group.
     */
    fun onAccepted(proposal: GroupProposal, now: Timestamp) {
        replacedDigest = proposal.base.digest
        val coolDown = now.deadlineAfter(options.coolDownMilliseconds)
        layers = layers.mapIndexed { index, layer ->
            val accepted = proposal.layers.getOrNull(index)
            val state = accepted?.let { layer.state.accept(it, now, options) }
            Layer(state ?: layer.state.copy(coolDownUntil = coolDown), layer.popularity)
        }
    }

    private fun layerMapsOrNull(activeMap: ActiveEngineMap): List<ExpertMap>? {
        val sets = activeMap.map.copySets
        if (activeMap.layers < 1 || sets.isEmpty() || sets.size % activeMap.layers != 0) return null
        return sets.chunked(sets.size / activeMap.layers).map { layer ->
            ExpertMap.fromRanks(rankCount, activeMap.slots, layer.map { it.ranks }).getOrNull()
                ?: return null
        }
    }

    private fun observeLayer(
        index: Int,
        map: ExpertMap,
        tokens: List<Double>,
        now: Timestamp,
    ): Layer {
        val last = layers.getOrNull(index)?.takeIf { it.popularity.expertCount == map.expertCount }
        val popularity =
            last?.popularity ?: ExpertPopularity.even(map.expertCount, popularityOptions)
        val state = last?.state?.copy(map = map)
            ?: PlacementState(map, options.budgetFor(map.expertCount))
        return Layer(state, planner.observe(popularity, tokens, now, map, speed))
    }

    /** Returns the share of the tokens of all layers that each rank processes. */
    private fun rankLoads(maps: List<ExpertMap>, tokens: List<List<Double>>): List<Double> {
        val sum = tokens.sumOf { it.sum() }.coerceAtLeast(1.0)
        return List(rankCount) { rank ->
            maps.indices.sumOf { layer ->
                maps[layer].expertsOn(Rank(rank)).sumOf {
                    tokens[layer][it.value] / maps[layer].ranksOf(it).size
                }
            } / sum
        }
    }
}
