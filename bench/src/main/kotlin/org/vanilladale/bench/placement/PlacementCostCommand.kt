package org.vanilladale.bench.placement

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.lang.management.ManagementFactory
import java.nio.file.Path
import java.util.Locale
import kotlinx.serialization.Serializable
import org.vanilladale.bench.ResultFile
import org.vanilladale.bench.Spread
import org.vanilladale.bench.randomStream
import org.vanilladale.bench.relativeFit
import org.vanilladale.bench.seedsFrom
import org.vanilladale.bench.spreadOf
import org.vanilladale.bench.writeResultFile
import org.vanilladale.core.placement.ExpertPopularity
import org.vanilladale.core.placement.PlacementInput
import org.vanilladale.core.placement.PlacementOptions
import org.vanilladale.core.placement.PlacementPlanner
import org.vanilladale.core.placement.PlacementState
import org.vanilladale.core.placement.RankSpeed
import org.vanilladale.core.placement.balancedMap
import org.vanilladale.schema.Timestamp

private const val NANOSECONDS_PER_MILLISECOND = 1e6
private const val REPEATS = 20
private const val STATES = 200
private const val WARM_UP_PLANS = 30
private const val DEFAULT_PLANS = 30
private const val SKEW_WEIGHT = 0.8

/** Measures processor time and state bytes of the planner at several sizes. */
public class PlacementCostCommand : CliktCommand(name = "placement-cost") {
    private val seed by option(help = "first seed").long().default(1)
    private val plans by option(help = "plans a size").int().default(DEFAULT_PLANS)
    private val sizes by option(help = "ranks x experts").split(",")
        .default(
            listOf(
                "4x64", "4x256", "4x512", "8x64", "8x256", "16x128", "16x512",
                "32x64", "32x256", "32x512", "64x64", "64x256", "64x512",
            ),
        )
    private val output by option(help = "JSON result file").default("target/placement-cost.json")
    private val clock = ManagementFactory.getThreadMXBean()

    override fun help(context: Context): String = "processor time and state of the planner"

    @Serializable
    private data class Cost(
        val size: PlacementSize,
        val changeMilliseconds: Double,
        val longestChangeMilliseconds: Double,
        val stayMilliseconds: Double,
        val observeMilliseconds: Double,
        val bytes: Double,
    )

    override fun run() {
        // One pass first, so that no size is measured in code that is not yet compiled.
        sizes.forEach { text -> cost(text, WARM_UP_PLANS) }
        val costs = sizes.map { cost(it, plans) }
        echo(
            "command: placement-cost --seed $seed --plans $plans --sizes ${sizes.joinToString(
                ",",
            )}",
        )
        echo("| ranks x experts | change ms | longest ms | stay ms | report ms | state bytes |")
        echo("|---|---|---|---|---|---|")
        costs.forEach {
            val cells = listOf(
                it.changeMilliseconds,
                it.longestChangeMilliseconds,
                it.stayMilliseconds,
                it.observeMilliseconds,
            )
            val text = cells.joinToString(" | ") { cell -> format("%.4f", cell) }
            echo("| ${it.size} | $text | ${format("%.0f", it.bytes)} |")
        }
        // A step tries a rank's experts against all copies, E * E / R, and sums up R * E copies.
        fit("change ms by 1, E * E / R, R * E", costs, {
            listOf(1.0, experts(it) * experts(it) / it.ranks, product(it))
        }) { it.changeMilliseconds }
        fit("stay ms by 1, R * E", costs, { listOf(1.0, product(it)) }) { it.stayMilliseconds }
        fit("report ms by 1, E", costs, { listOf(1.0, experts(it)) }) { it.observeMilliseconds }
        fit("state bytes by 1, E", costs, { listOf(1.0, experts(it)) }) { it.bytes }
        val file = ResultFile("placement-cost --seed $seed", seedsFrom(seed, plans), costs)
        writeResultFile(Path.of(output), file, Cost.serializer())
    }

    private fun experts(size: PlacementSize) = size.experts.toDouble()

    private fun product(size: PlacementSize) = size.ranks.toDouble() * size.experts

    private fun fit(
        name: String,
        costs: List<Cost>,
        terms: (PlacementSize) -> List<Double>,
        value: (Cost) -> Double,
    ) {
        val fit = relativeFit(costs.map { terms(it.size) to value(it) })
        echo(
            "$name: ${fit.factors.joinToString { format("%.4g", it) }}, " +
                "largest error ${format("%.0f", fit.largestError * PERCENT)} %",
        )
    }

    private fun format(pattern: String, value: Double) = String.format(Locale.ROOT, pattern, value)

    private fun cost(text: String, plans: Int): Cost {
        val inputs = seedsFrom(seed, plans).map { input(text, it) }
        val planner = PlacementPlanner(PlacementOptions(tolerance = HIGH_TOLERANCE))
        val tokens = inputs.first().popularity.shares()
        val later = at(SHIFT_SECOND + 2)
        val changes = spread(inputs, times = 1) { change(it) }
        return Cost(
            PlacementSize.parse(text),
            changes.median,
            changes.maximum,
            spread(inputs, REPEATS) { planner.plan(it) }.median,
            spread(inputs, REPEATS) { it.popularity.observe(tokens, later) }.median,
            bytes(text),
        )
    }

    private fun change(input: PlacementInput) = PlacementPlanner().plan(input)

    private fun spread(
        inputs: List<PlacementInput>,
        times: Int,
        action: (PlacementInput) -> Any,
    ): Spread = spreadOf(
        inputs.map {
            val before = clock.currentThreadCpuTime
            repeat(times) { _ -> action(it) }
            (clock.currentThreadCpuTime - before) / NANOSECONDS_PER_MILLISECOND / times
        },
    )

    private fun at(second: Long) = Timestamp.fromEpochMilliseconds(second * MILLISECONDS)

    /** Returns the input after a shift that moved a quarter of the experts. */
    private fun input(text: String, seed: Long): PlacementInput {
        val size = PlacementSize.parse(text)
        val random = randomStream(seed, "cost")
        val before = List(size.experts) { random.nextDouble(LEAST_WEIGHT, 1.0) }
        val after = before.toMutableList()
        before.indices.shuffled(random).take(size.experts / SHIFTED_PART).forEach {
            after[it] = random.nextDouble(LEAST_WEIGHT, 2.0)
        }
        val speed = RankSpeed.even(size.ranks)
        val sum = before.sum()
        val map = balancedMap(size.ranks, size.slots, before.map { it / sum }, speed)
        val state = PlacementState(map, PlacementOptions().budgetFor(size.experts))
        val popularity = ExpertPopularity.even(size.experts).observe(before, at(0))
            .observe(after, at(SHIFT_SECOND))
        return PlacementInput(state, popularity, speed, SKEW_WEIGHT, at(SHIFT_SECOND + 1))
    }

    private fun bytes(text: String): Double {
        val before = usedBytes()
        val kept = List(STATES) { switched(input(text, it.toLong())) }
        val used = usedBytes() - before
        // Keeps the states reachable until they have been measured.
        return used.toDouble() / kept.size
    }

    /** Returns [input] after a switch, so that its state holds spent moves and barred copies. */
    private fun switched(input: PlacementInput): PlacementInput {
        val proposal = change(input).getOrNull() ?: return input
        return input.copy(state = input.state.accept(proposal, input.now, PlacementOptions()))
    }

    private fun usedBytes(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        const val SHIFT_SECOND = 600L
        const val MILLISECONDS = 1_000L
        const val HIGH_TOLERANCE = 100.0
        const val LEAST_WEIGHT = 0.2
        const val PERCENT = 100
        const val COLLECTIONS = 3
        const val SHIFTED_PART = 4
    }
}
