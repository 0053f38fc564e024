package org.vanilladale.bench.placement

import java.util.Random
import kotlin.math.sqrt
import org.vanilladale.bench.WindowedHistogram
import org.vanilladale.bench.randomStream
import org.vanilladale.core.placement.ExpertCopy
import org.vanilladale.core.placement.ExpertMap
import org.vanilladale.core.placement.ExpertPopularity
import org.vanilladale.core.placement.PlacementInput
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementProposal
import org.vanilladale.core.placement.PlacementState
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.core.placement.balancedMap
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Timestamp

private const val REPORT_LAG_SECONDS = 20
private const val DECISION_SECONDS = 30
private const val LOADS_PER_SECOND = 2
private const val PREPARE_SECONDS = 5
private const val LOADS_PER_HELD_STEP = 4
private const val BYTES_PER_EXPERT = 44_000_000L
private const val REPORT_TOKENS_FACTOR = 333.0
private const val HIGHEST_SKEW = 100.0
private const val SKEW_UNIT = 0.001
private const val MILLISECONDS = 1_000L
private const val SECONDS_PER_HOUR = 3_600.0

/** One run of [variant] in virtual time; one step a second is measured. */
internal class PlacementRun(
    private val workload: Workload,
    private val variant: PlacementVariant,
    private val skewWeight: Double,
) {
    private class Switch(val proposal: PlacementProposal, val second: Int)

    private val size = workload.size
    private val noise = Random(randomStream(workload.seed, "noise").nextLong())
    private val reportNoise = Random(randomStream(workload.seed, "report").nextLong())
    private var state = PlacementState(firstMap(), variant.budget(size.experts))
    private var popularity = ExpertPopularity.even(size.experts, variant.popularity)
    private var speed = RankSpeed.even(size.ranks)
    private var pending: Switch? = null
    private var loads = DoubleArray(size.ranks)
    private val reports = ArrayDeque<Report>()
    private val leftAt = mutableMapOf<ExpertCopy, Int>()
    private val skew = WindowedHistogram(HIGHEST_SKEW, SKEW_UNIT)
    private val ratio = WindowedHistogram(HIGHEST_SKEW, SKEW_UNIT)
    private val settledRatio = WindowedHistogram(HIGHEST_SKEW, SKEW_UNIT)
    private val observer = PlacementPlanner(variant.options)
    private val shifts = ShiftRecord(workload)
    private var moves = 0
    private var heldSteps = 0
    private var switches = 0
    private var flaps = 0

    private class Report(
        val second: Int,
        val tokens: List<Double>,
        val loads: List<Double>,
        val times: List<Double>,
    )

    fun run(): PlacementFigures {
        for (second in 0 until workload.seconds) {
            pending?.takeIf { it.second <= second }?.let { switch(it, second) }
            if (second % REPORT_SECONDS == 0) report(second)
            measure(second)
            if (second % DECISION_SECONDS == 0 && pending == null) decide(second)
        }
        return PlacementFigures(
            skew.percentiles(),
            ratio.percentiles(),
            settledRatio.percentiles(),
            shifts.shocks,
            shifts.laterSkew,
            shifts.recoverySeconds,
            moves,
            moves * BYTES_PER_EXPERT,
            moves,
            heldSteps,
            switches / (workload.seconds / SECONDS_PER_HOUR),
            flaps,
        )
    }

    private fun firstMap(): ExpertMap = balancedMap(
        size.ranks,
        size.slots,
        workload.sharesAt(0).toList(),
        RankSpeed.even(size.ranks),
    )

    private fun at(second: Int) = Timestamp.fromEpochMilliseconds(second * MILLISECONDS)

    private fun updateLoads(second: Int) {
        val shares = workload.sharesAt(second)
        loads.fill(0.0)
        for (expert in shares.indices) {
            val ranks = state.map.ranksOf(ExpertId(expert))
            ranks.forEach { loads[it.value] += shares[expert] / ranks.size }
        }
    }

    private fun report(second: Int) {
        updateLoads(second)
        val shares = workload.sharesAt(second)
        val total = workload.options.tokensPerRank * size.ranks * REPORT_TOKENS_FACTOR
        val tokens = shares.map { share ->
            (share * total + reportNoise.nextGaussian() * sqrt(share * total)).coerceAtLeast(0.0)
        }
        val times = List(size.ranks) { loads[it] / workload.speedAt(second, it) }
        reports += Report(second, tokens, loads.toList(), times)
        while (reports.first().second + REPORT_LAG_SECONDS <= second) {
            val report = reports.removeFirst()
            speed = speed.observe(report.loads, report.times, at(report.second))
            popularity = observer.observe(
                popularity,
                report.tokens,
                at(report.second),
                state.map,
                speed,
            )
        }
    }

    private fun measure(second: Int) {
        var slowest = 0.0
        var sum = 0.0
        for (rank in 0 until size.ranks) {
            val tokens = workload.options.tokensPerRank * size.ranks * loads[rank]
            val deviation = sqrt(
                1 / tokens.coerceAtLeast(1.0) + workload.options.jitter * workload.options.jitter,
            )
            val factor = (1 + noise.nextGaussian() * deviation).coerceAtLeast(0.0)
            val time = loads[rank] / workload.speedAt(second, rank) * factor
            slowest = maxOf(slowest, time)
            sum += time
        }
        skew.record(at(second), slowest / (sum / size.ranks))
        shifts.record(second, slowest / (sum / size.ranks))
        ratio.record(at(second), slowest / workload.boundAt(second))
        if (workload.isSettled(second)) {
            settledRatio.record(at(second), slowest / workload.boundAt(second))
        }
    }

    private fun decide(second: Int) {
        val input = PlacementInput(state, popularity, speed, skewWeight, at(second))
        val proposal = variant.policy(input).getOrNull() ?: return
        val loading = proposal.loads.size / LOADS_PER_SECOND
        pending = Switch(proposal, second + PREPARE_SECONDS + loading)
    }

    private fun switch(switch: Switch, second: Int) {
        val proposal = switch.proposal
        val period = variant.options.budgetPeriodMilliseconds / MILLISECONDS
        flaps += proposal.loads.count { copy -> leftAt[copy]?.let { second - it < period } == true }
        proposal.removals.forEach { leftAt[it] = second }
        moves += proposal.loads.size
        switches++
        val loadsOfRank = proposal.loads.groupingBy { it.rank }.eachCount().values.maxOrNull() ?: 0
        heldSteps += 1 + (loadsOfRank + LOADS_PER_HELD_STEP - 1) / LOADS_PER_HELD_STEP
        state = state.accept(proposal, at(second), variant.options)
        pending = null
        updateLoads(second)
    }
}
