package org.vanilladale.agent.rankgroup

import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.ExpertPopularity
import org.vanilladale.core.placement.PlacementInput
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementProposal
import org.vanilladale.core.placement.PlacementState
import org.vanilladale.core.placement.PopularityOptions
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.core.placement.RankSpeedOptions
import org.vanilladale.schema.AgentSettings
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/**
 * Collects the reports of a group and plans its next expert map. Used by one coroutine only.
 *
 * Each expert has one copy, because [org.vanilladale.schema.MapPrepare] names one rank an expert.
 */
internal class ExpertPlan(private val rankCount: Int, settings: AgentSettings) {
    private val options = PlacementOptions(
        coolDownMilliseconds = settings.planCoolDownMilliseconds,
        periodMilliseconds = settings.movePeriodMilliseconds,
        allowReplicas = false,
    )
    private val popularityOptions = PopularityOptions(
        scaleMilliseconds = settings.popularityMilliseconds,
    )
    private val planner = PlacementPlanner(options)
    private var speed = RankSpeed.even(
        rankCount,
        RankSpeedOptions(scaleMilliseconds = settings.popularityMilliseconds),
    )
    private var popularity: ExpertPopularity? = null
    private var state: PlacementState? = null

    /** Takes the reports up to [now] and returns a better map if there is one. */
    fun proposeOrNull(
        status: EngineStatus,
        tokens: List<Double>,
        stepMilliseconds: List<Double>,
        skewWeight: Double,
        now: Timestamp,
    ): PlacementProposal? {
        val map = ExpertMap.fromRanks(rankCount, status.slots, status.placement.map { listOf(it) })
            .getOrNull() ?: return null
        val observed = (popularity?.takeIf { it.expertCount == map.expertCount } ?: even(map))
            .observe(tokens, now)
        popularity = observed
        speed = speed.observe(loadsOf(map, tokens), stepMilliseconds, now)
        val current = state?.copy(map = map)
            ?: PlacementState(map, options.budgetFor(map.expertCount))
        state = current
        return planner.plan(PlacementInput(current, observed, speed, skewWeight, now)).getOrNull()
    }

    /** Notes that the group has switched to [proposal]. */
    fun accepted(proposal: PlacementProposal, now: Timestamp) {
        state = state?.accept(proposal, now, options)
    }

    private fun even(map: ExpertMap) = ExpertPopularity.even(map.expertCount, popularityOptions)

    private fun loadsOf(map: ExpertMap, tokens: List<Double>): List<Double> {
        val sum = tokens.sum().coerceAtLeast(1.0)
        return List(rankCount) { rank ->
            map.expertsOn(Rank(rank)).sumOf { tokens.getOrElse(it.value) { 0.0 } } / sum
        }
    }

    companion object {
        /** Returns the rank of each expert of a map with one copy each. */
        fun placementOf(map: ExpertMap): List<Rank> =
            List(map.expertCount) { map.ranksOf(ExpertId(it)).first() }
    }
}
