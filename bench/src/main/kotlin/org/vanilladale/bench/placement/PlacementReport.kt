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
            "later worst minute | recovery s | settled ratio p50 | settled ratio p99 | moves | " +
            "moves / timer | GB | held steps | switches an hour | flaps |",
    )
    appendLine("|" + "---|".repeat(COLUMNS))
    results.groupBy { it.size to it.skewWeight }.forEach { (_, group) ->
        val runs = group.groupBy { it.seed }.map { (seed, bySeed) ->
            PairedRun(seed, bySeed.associate { it.variant to it.figures })
        }
        runs.first().results.keys.forEach { appendLine(row(group.first(), runs, it)) }
    }
}

private const val COLUMNS = 16

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
        cell(digits = 3) { it.laterSkew.worstMinute },
        cell(digits = 0) { it.recoverySeconds },
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

/**
 * Draws figures of each size, one line a variant. The baselines ignore the weight; a variant with
 * results of several weights has a line for each.
 */
internal fun plotPlacement(directory: Path, results: List<PlacementResult>) {
    val sizes = results.map {
        it.size
    }.distinct().sortedWith(compareBy({ it.ranks }, { it.experts }))
    val weights = results.groupBy { it.variant }.mapValues { (_, rows) ->
        rows.map { it.skewWeight }.distinct()
    }
    val lines = results.groupBy { row ->
        if (weights.getValue(row.variant).size == 1) {
            row.variant
        } else {
            "${row.variant}, weight ${row.skewWeight}"
        }
    }
    listOf<Pair<String, (PlacementFigures) -> Double>>(
        "settled-ratio-p99" to { it.settledRatio.p99 },
        "worst-minute" to { it.skew.worstMinute },
        "later-worst-minute" to { it.laterSkew.worstMinute },
        "moves" to { it.moves.toDouble() },
    ).forEach { (name, figure) ->
        writeLinePlot(
            directory.resolve("placement-$name.svg"),
            "$name, median of seeds",
            sizes.mapIndexed { index, size -> "${index + 1}: $size" }.joinToString("   "),
            name,
            lines.map { (label, rows) ->
                val drawn = sizes.filter { size -> rows.any { it.size == size } }
                val medians = drawn.map { size ->
                    spreadOf(rows.filter { it.size == size }.map { figure(it.figures) }).median
                }
                PlotLine(label, drawn.map { sizes.indexOf(it) + 1.0 }, medians)
            },
        )
    }
}
