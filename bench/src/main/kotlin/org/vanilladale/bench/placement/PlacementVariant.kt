package org.vanilladale.bench.placement

import arrow.core.left
import arrow.core.right
import org.vanilladale.core.placement.MoveBudget
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementPolicy
import org.vanilladale.core.placement.PlacementProposal
import org.vanilladale.core.placement.PlacementSkipReason
import org.vanilladale.core.placement.PopularityOptions
import org.vanilladale.core.placement.balancedMap

// With the planner's 64 starts and no tolerance a run of greedy takes minutes.
private const val GREEDY_CHAIN_STARTS = 4

/** Smoothing of the baselines, as it was when they were first measured. */
private val baselinePopularity = PopularityOptions(timeConstantMilliseconds = 150_000)
private const val UNLIMITED_MOVES = Int.MAX_VALUE / 2

/** One policy under test with its smoothing and the limits its state keeps. */
internal class PlacementVariant(
    val policy: PlacementPolicy,
    val options: PlacementOptions = PlacementOptions(),
    val popularity: PopularityOptions = baselinePopularity,
    val budget: (experts: Int) -> MoveBudget = { MoveBudget.of(UNLIMITED_MOVES) },
)

/** Never changes the first map. */
private val never = PlacementVariant({ PlacementSkipReason.Balanced(1.0).left() })

/** Assigns all experts from scratch every ten minutes. */
private val timer = PlacementVariant(
    policy = { input ->
        val coolDown = input.state.coolDownUntil
        val current = input.state.map
        if (coolDown != null && !coolDown.hasPassed(input.now)) {
            PlacementSkipReason.CoolingDown(coolDown).left()
        } else {
            val shares = input.popularity.shares()
            val map = balancedMap(current.rankCount, current.slotsPerRank, shares, input.speed)
            val loads = map.copiesMissingIn(current)
            PlacementProposal(map, loads, current.copiesMissingIn(map), 1.0, 1.0).right()
        }
    },
    options = PlacementOptions(
        coolDownMilliseconds = 600_000,
        urgentSkew = Double.POSITIVE_INFINITY,
    ),
)

private val greedyOptions = PlacementOptions(
    tolerance = 0.0,
    urgentSkew = Double.POSITIVE_INFINITY,
    hysteresis = 0.0,
    skewPerMove = 0.0,
    maxMovesPerProposal = UNLIMITED_MOVES,
    coolDownMilliseconds = 0,
    pairCandidates = GREEDY_CHAIN_STARTS,
)

/**
 * Takes every predicted gain: no move cost, hysteresis, budget, cool-down or barred copies. It
 * searches all ranks and pairs of edits, as the planner does, until nothing lowers the times.
 */
private val greedy = PlacementVariant(
    policy = { input ->
        val open = input.copy(state = input.state.copy(excludedCopies = emptyMap()))
        PlacementPlanner(greedyOptions).plan(open)
    },
    options = greedyOptions,
)

private val scratchOptions = greedyOptions.copy(tolerance = 0.01, pairCandidates = 0)

/**
 * Assigns all experts from scratch at each decision and improves that map without limits. Shows how
 * near to the bound the slots and the reports allow a policy to come.
 */
private val scratch = PlacementVariant(
    policy = { input ->
        val current = input.state.map
        val shares = input.popularity.shares()
        val map = balancedMap(current.rankCount, current.slotsPerRank, shares, input.speed)
        val open = input.copy(state = input.state.copy(map = map, excludedCopies = emptyMap()))
        val improved = PlacementPlanner(scratchOptions).plan(open).getOrNull()?.map ?: map
        val loads = improved.copiesMissingIn(current)
        val removals = current.copiesMissingIn(improved)
        PlacementProposal(improved, loads, removals, 1.0, 1.0).right()
    },
    options = scratchOptions,
)

private fun planner(
    options: PlacementOptions = PlacementOptions(),
    popularity: PopularityOptions = PopularityOptions(),
    budget: (experts: Int) -> MoveBudget = options::budgetFor,
) = PlacementVariant(PlacementPlanner(options)::plan, options, popularity, budget)

/** Baselines, the planner with its defaults, and the alternatives the defaults are chosen from. */
internal val placementVariants: Map<String, PlacementVariant> = mapOf(
    "never" to never,
    "timer" to timer,
    "greedy" to greedy,
    "planner" to planner(),
    "scratch" to scratch,
    "hysteresis-0.005" to planner(PlacementOptions(hysteresis = 0.005)),
    "hysteresis-0.015" to planner(PlacementOptions(hysteresis = 0.015)),
    "hysteresis-0.02" to planner(PlacementOptions(hysteresis = 0.02)),
    "hysteresis-0.04" to planner(PlacementOptions(hysteresis = 0.04)),
    "move-cost-0.002" to planner(PlacementOptions(skewPerMove = 0.002)),
    "move-cost-0.001" to planner(PlacementOptions(skewPerMove = 0.001)),
    "move-cost-0.004" to planner(PlacementOptions(skewPerMove = 0.004)),
    "no-swaps" to planner(PlacementOptions(allowSwaps = false)),
    "no-replicas" to planner(PlacementOptions(allowReplicas = false)),
    "scale-150s" to planner(popularity = PopularityOptions(150_000)),
    "scale-60s" to planner(popularity = PopularityOptions(60_000)),
    "scale-300s" to planner(popularity = PopularityOptions(300_000)),
    "scale-600s" to planner(popularity = PopularityOptions(600_000)),
    "never-urgent" to planner(
        PlacementOptions(urgentSkew = Double.POSITIVE_INFINITY),
        PopularityOptions(150_000),
    ),
    "urgent-1.5" to planner(PlacementOptions(urgentSkew = 1.5)),
    "urgent-1.5-16" to planner(PlacementOptions(urgentSkew = 1.5, maxUrgentMoves = 16)),
    "urgent-2" to planner(PlacementOptions(urgentSkew = 2.0)),
    "no-chains" to planner(PlacementOptions(pairCandidates = 0)),
    "chains-16" to planner(PlacementOptions(pairCandidates = 16)),
    "moves-8" to planner(PlacementOptions(maxMovesPerProposal = 8)),
    "moves-32" to planner(PlacementOptions(maxMovesPerProposal = 32)),
    "cool-down-60s" to planner(PlacementOptions(coolDownMilliseconds = 60_000)),
    "cool-down-300s" to planner(PlacementOptions(coolDownMilliseconds = 300_000)),
    "budget-quarter" to planner(budget = { MoveBudget.of(it / 4) }),
    "budget-half" to planner(budget = { MoveBudget.of(it / 2) }),
)
