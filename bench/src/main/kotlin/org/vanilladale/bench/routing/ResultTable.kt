package org.vanilladale.bench.routing

import java.util.Locale

/** Markdown tables of the means over the seeds, with the ratios to the baseline. */
internal object ResultTable {
    private const val HUNDRED = 100
    private const val TEN = 10
    private const val HEADER = "| policy | first token worst | ratio (least to most) | p50 | " +
        "p99 | p99.9 | between tokens worst | ratio (least to most) | p50 | p99 | p99.9 | " +
        "hits | goodput/s | ratio (least to most) | attempts | smallest share | recovery s | " +
        "refusals |"

    fun format(study: Study, results: List<RunResult>): String = buildString {
        for (condition in study.conditions) {
            val rows = results.filter { it.condition == condition.name }
            val offered = rows.map { it.offeredPerSecond }.average()
            appendLine("### ${study.name}: ${condition.name}, offered ${number(offered)}/s")
            appendLine()
            appendLine(HEADER)
            appendLine("|" + "---|".repeat(HEADER.count { it == '|' } - 1))
            val baseline = rows.filter { it.variant == study.baseline }.associateBy { it.seed }
            for (variant in study.variants) {
                appendLine(row(rows.filter { it.variant == variant.name }, baseline))
            }
            appendLine()
        }
    }

    private fun row(runs: List<RunResult>, baseline: Map<Int, RunResult>): String {
        fun mean(of: (RunResult) -> Double) = number(runs.map(of).average())
        fun ratio(of: (RunResult) -> Double): String {
            val ratios = runs.map { of(it) / of(baseline.getValue(it.seed)) }
            return "${number(
                ratios.average(),
            )} (${number(ratios.min())} to ${number(ratios.max())})"
        }
        val recovery = runs.map { it.secondsToRecover }
        val cells = listOf(
            runs.first().variant,
            mean { it.firstTokenWorst },
            ratio { it.firstTokenWorst },
            mean { it.firstTokenP50 },
            mean { it.firstTokenP99 },
            mean { it.firstTokenP999 },
            mean { it.betweenTokensWorst },
            ratio { it.betweenTokensWorst },
            mean { it.betweenTokensP50 },
            mean { it.betweenTokensP99 },
            mean { it.betweenTokensP999 },
            mean { it.cacheHitShare },
            mean { it.goodputPerSecond },
            ratio { it.goodputPerSecond },
            mean { it.attemptsPerRequest },
            mean { it.smallestWorkspaceShare },
            recovery.joinToString(" ") { if (it == null) "-" else number(it) },
            refusals(runs),
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun refusals(runs: List<RunResult>): String =
        runs.flatMap { it.refusals.entries }.groupBy({ it.key }, { it.value })
            .entries.sortedByDescending { it.value.sum() }
            .joinToString(", ") { (reason, counts) -> "$reason ${counts.sum() / runs.size}" }

    fun number(value: Double): String = when {
        value >= HUNDRED -> String.format(Locale.ROOT, "%.0f", value)
        value >= TEN -> String.format(Locale.ROOT, "%.1f", value)
        else -> String.format(Locale.ROOT, "%.2f", value)
    }
}
