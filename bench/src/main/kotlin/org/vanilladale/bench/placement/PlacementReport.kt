package org.vanilladale.bench.placement

import java.nio.file.Path
import java.util.Locale
import org.vanilladale.bench.PairedRun
import org.vanilladale.bench.PlotLine
import org.vanilladale.bench.Spread
import org.vanilladale.bench.ratioSpread
import org.vanilladale.bench.spreadOf
import org.vanilladale.bench.writeLinePlot

private const val GIGABYTE = 1e9

/** Returns a Markdown table with a row for each size, weight and variant: medians and ranges. */
internal fun placementTable(results: List<PlacementResult>): String = buildString {
    appendLine(
        "| ranks x experts | weight | variant | skew p50 | skew p99 | worst minute | " +
            "settled ratio p50 | settled ratio p99 | moves | moves / timer | GB | held steps | " +
            "switches an hour | flaps |",
    )
    appendLine("|" + "---|".repeat(COLUMNS))
    results.groupBy { it.size to it.skewWeight }.forEach { (_, group) ->
        val runs = group.groupBy { it.seed }.map { (seed, bySeed) ->
            PairedRun(seed, bySeed.associate { it.variant to it.figures })
        }
        runs.first().results.keys.forEach { appendLine(row(group.first(), runs, it)) }
    }
}

private const val COLUMNS = 14

private fun row(
    any: PlacementResult,
    runs: List<PairedRun<PlacementFigures>>,
    variant: String,
): String {
    fun cell(digits: Int, figure: (PlacementFigures) -> Double) =
        text(spreadOf(runs.map { figure(it.results.getValue(variant)) }), digits)
    val hasTimer = "timer" in runs.first().results
    val share = if (hasTimer) {
        text(ratioSpread(runs, variant, "timer") { it.moves.toDouble() }, digits = 2)
    } else {
        "-"
    }
    val cells = listOf(
        "${any.size}",
        "${any.skewWeight}",
        variant,
        cell(digits = 3) { it.skew.p50 },
        cell(digits = 3) { it.skew.p99 },
        cell(digits = 3) { it.skew.worstMinute },
        cell(digits = 3) { it.settledRatio.p50 },
        cell(digits = 3) { it.settledRatio.p99 },
        cell(digits = 0) { it.moves.toDouble() },
        share,
        cell(digits = 1) { it.bytes / GIGABYTE },
        cell(digits = 0) { it.heldSteps.toDouble() },
        cell(digits = 1) { it.disruptionsPerHour },
        cell(digits = 0) { it.flaps.toDouble() },
    )
    return cells.joinToString(" | ", "| ", " |")
}

private fun text(spread: Spread, digits: Int): String {
    val format = "%.${digits}f (%.${digits}f-%.${digits}f)"
    return String.format(Locale.ROOT, format, spread.median, spread.minimum, spread.maximum)
}

/** Draws settled ratio against moves, one line a variant and one point a size, per weight. */
internal fun plotPlacement(directory: Path, results: List<PlacementResult>) {
    results.groupBy { it.skewWeight }.forEach { (weight, group) ->
        listOf<Pair<String, (PlacementFigures) -> Double>>(
            "settled-ratio-p99" to { it.settledRatio.p99 },
            "moves" to { it.moves.toDouble() },
        ).forEach { (name, figure) ->
            val sizes = group.map { it.size }.distinct()
            val lines = group.groupBy { it.variant }.map { (variant, rows) ->
                val medians = sizes.map { size ->
                    spreadOf(rows.filter { it.size == size }.map { figure(it.figures) }).median
                }
                PlotLine(variant, sizes.indices.map { it + 1.0 }, medians)
            }
            writeLinePlot(
                directory.resolve("placement-$name-$weight.svg"),
                "$name at skew weight $weight, median of seeds",
                sizes.mapIndexed { index, size -> "${index + 1}: $size" }.joinToString("   "),
                name,
                lines,
            )
        }
    }
}
