package org.vanilladale.bench.routing

import java.nio.file.Path
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.style.Styler.LegendPosition

/** Bar charts of the means over the seeds. */
internal object Plots {
    private const val WIDTH = 1_100
    private const val HEIGHT = 500
    private const val LABEL_DEGREES = 30
    private val figures = listOf<Triple<String, String, (RunResult) -> Double>>(
        Triple("first-token-worst", "first token, p95 of the worst minute, ms") {
            it.firstTokenWorst
        },
        Triple("goodput", "completed in time, share of offered") {
            it.goodputPerSecond / it.offeredPerSecond
        },
    )

    fun write(study: Study, results: List<RunResult>, directory: Path) {
        for ((name, label, value) in figures) {
            val chart = CategoryChartBuilder().width(WIDTH).height(HEIGHT)
                .title("${study.name}: $label").yAxisTitle(label).build()
            chart.styler.legendPosition = LegendPosition.OutsideE
            chart.styler.setXAxisLabelRotation(LABEL_DEGREES)
            val conditions = study.conditions.map { it.name }
            for (variant in study.variants) {
                val means = conditions.map { condition ->
                    results.filter { it.condition == condition && it.variant == variant.name }
                        .map(value).average()
                }
                chart.addSeries(variant.name, conditions, means)
            }
            val file = directory.resolve("routing-${study.name}-$name").toString()
            BitmapEncoder.saveBitmap(chart, file, BitmapFormat.PNG)
        }
    }
}
