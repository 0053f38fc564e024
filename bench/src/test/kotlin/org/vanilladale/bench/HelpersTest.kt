package org.vanilladale.bench

import java.nio.file.Path
import kotlin.io.path.fileSize
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class HelpersTest {
    @Test
    fun `a slow minute across two clock minutes is the worst window`() {
        val histogram = WindowedHistogram(highest = 100.0, unit = 0.01)
        repeat(600) { second ->
            val value = if (second in 90 until 150) 5.0 else 1.0
            histogram.record(Timestamp.fromEpochMilliseconds(second * 1_000L), value)
        }
        val percentiles = histogram.percentiles()
        expectThat(percentiles.p50).isLessThan(1.01)
        expectThat(percentiles.worstMinute).isGreaterThan(4.9)
    }

    @Test
    fun `streams repeat with their seed and ratios pair by seed`() {
        expectThat(randomStream(7, "a").nextInt()).isEqualTo(randomStream(7, "a").nextInt())
        val runs = pairedRuns<Double>(
            seedsFrom(1, 3),
            mapOf("base" to { it.toDouble() }, "twice" to { it * 2.0 }),
        )
        expectThat(ratioSpread(runs, "twice", "base") { it }).isEqualTo(Spread(2.0, 2.0, 2.0))
    }

    @Test
    fun `plots are written without a display`(@TempDir directory: Path) {
        System.setProperty("java.awt.headless", "true")
        listOf("a.svg", "a.png").forEach { name ->
            val line = PlotLine("line", listOf(1.0, 2.0), listOf(1.0, 4.0))
            writeLinePlot(directory.resolve(name), "title", "x", "y", listOf(line))
            expectThat(directory.resolve(name).fileSize()).isGreaterThan(0)
        }
    }

    @Test
    fun `a fit finds the factors of its terms and states its error`() {
        val exact = listOf(1.0, 2.0, 8.0).map { listOf(1.0, it) to 3.0 + it / 2 }
        val fit = relativeFit(exact)
        expectThat(fit.at(listOf(1.0, 4.0))).isGreaterThan(4.999).isLessThan(5.001)
        expectThat(fit.largestError).isLessThan(1e-9)
        val bent = relativeFit(exact + (listOf(1.0, 4.0) to 10.0))
        expectThat(bent.largestError).isGreaterThan(0.1)
    }
}
