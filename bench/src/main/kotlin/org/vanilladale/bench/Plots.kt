package org.vanilladale.bench

import java.nio.file.Path
import kotlin.io.path.createParentDirectories
import kotlin.io.path.extension
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers

private const val WIDTH = 900
private const val HEIGHT = 500

/** One line of a plot. */
public data class PlotLine(val name: String, val x: List<Double>, val y: List<Double>)

/** Draws [lines] to [path], whose extension is `png` or `svg`. */
public fun writeLinePlot(
    path: Path,
    title: String,
    xTitle: String,
    yTitle: String,
    lines: List<PlotLine>,
) {
    val chart: XYChart = XYChartBuilder().width(WIDTH).height(HEIGHT).title(title)
        .xAxisTitle(xTitle).yAxisTitle(yTitle).build()
    lines.forEach { line ->
        chart.addSeries(line.name, line.x, line.y).marker = SeriesMarkers.NONE
    }
    path.createParentDirectories()
    when (path.extension) {
        "svg" -> VectorGraphicsEncoder.saveVectorGraphic(
            chart,
            path.toString(),
            VectorGraphicsEncoder.VectorGraphicsFormat.SVG,
        )
        "png" -> BitmapEncoder.saveBitmap(chart, path.toString(), BitmapEncoder.BitmapFormat.PNG)
        else -> throw IllegalArgumentException("plots end in .png or .svg; found '$path'")
    }
}
