package org.vanilladale.bench.routing

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.vanilladale.core.refusal.Refusal

/**
 * Results of one run after the warm-up. Times are in milliseconds; `Worst` is the 95th percentile
 * of the worst 60-second window, taken every 10 seconds.
 */
@Serializable
internal data class RunResult(
    val condition: String,
    val variant: String,
    val seed: Int,
    val firstTokenWorst: Double,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val firstTokenP999: Double,
    val betweenTokensWorst: Double,
    val betweenTokensP50: Double,
    val betweenTokensP99: Double,
    val betweenTokensP999: Double,
    val cacheHitShare: Double,
    val offeredPerSecond: Double,
    val goodputPerSecond: Double,
    val attemptsPerRequest: Double,
    val secondsToRecover: Double?,
    val smallestWorkspaceShare: Double,
    val refusals: Map<String, Int>,
)

/** Collects the figures of one run in slices of ten seconds. */
internal class Measures(private val time: VirtualTime) {
    private class Slice {
        val firstToken = Histogram(HIGHEST_MICROSECONDS, DIGITS)
        val betweenTokens = Histogram(HIGHEST_MICROSECONDS, DIGITS)
        var offered = 0
        var completed = 0
        var attempts = 0
    }

    private val slices = List(Condition.SECONDS / SLICE_SECONDS) { Slice() }
    private val refusals = sortedMapOf<String, Int>()
    private val completedByWorkspace = HashMap<Int, Int>()
    private val warm get() = time.microseconds >= Condition.WARM_UP_SECONDS * SECOND

    fun offered() {
        slice().offered++
    }

    fun attempted() {
        slice().attempts++
    }

    fun token(first: Boolean, microseconds: Long) {
        val histogram = if (first) slice().firstToken else slice().betweenTokens
        histogram.recordValue(microseconds.coerceAtMost(HIGHEST_MICROSECONDS))
    }

    fun completed(arrival: Arrival) {
        slice().completed++
        if (warm) completedByWorkspace.merge(arrival.workspace, 1, Int::plus)
    }

    fun refused(refusal: Refusal) {
        if (warm) refusals.merge(refusal.reason.code, 1, Int::plus)
    }

    fun result(
        condition: Condition,
        variant: Variant,
        seed: Int,
        arrivals: List<Arrival>,
        targets: List<ServedTarget>,
    ): RunResult {
        val counted = slices.drop(WARM_UP_SLICES)
        val first = sum(counted.map { it.firstToken })
        val between = sum(counted.map { it.betweenTokens })
        val seconds = (counted.size * SLICE_SECONDS).toDouble()
        val smallest = condition.workspaces - 1
        val offeredBySmallest = arrivals.count {
            it.workspace == smallest && it.atMicroseconds >= Condition.WARM_UP_SECONDS * SECOND
        }
        return RunResult(
            condition.name,
            variant.name,
            seed,
            firstTokenWorst = worst(counted) { it.firstToken },
            firstTokenP50 = first.at(MEDIAN),
            firstTokenP99 = first.at(TAIL),
            firstTokenP999 = first.at(FAR_TAIL),
            betweenTokensWorst = worst(counted) { it.betweenTokens },
            betweenTokensP50 = between.at(MEDIAN),
            betweenTokensP99 = between.at(TAIL),
            betweenTokensP999 = between.at(FAR_TAIL),
            cacheHitShare = targets.sumOf { it.hits } /
                targets.sumOf { it.lookups }.coerceAtLeast(1).toDouble(),
            offeredPerSecond = counted.sumOf { it.offered } / seconds,
            goodputPerSecond = counted.sumOf { it.completed } / seconds,
            attemptsPerRequest = counted.sumOf { it.attempts } /
                counted.sumOf { it.offered }.toDouble(),
            secondsToRecover = if (condition.fault) secondsToRecover() else null,
            smallestWorkspaceShare = (completedByWorkspace[smallest] ?: 0) /
                offeredBySmallest.coerceAtLeast(1).toDouble(),
            refusals = refusals,
        )
    }

    /** Seconds until two slices in a row are nearly as good as those before the fault. */
    private fun secondsToRecover(): Double? {
        val faultSlice = Condition.FAULT_START_SECOND / SLICE_SECONDS
        val before = slices.subList(WARM_UP_SLICES, faultSlice)
        val bound = sum(before.map { it.firstToken }).at(PERCENTILE) * RECOVERED_LATENCY
        val endSlice = Condition.FAULT_END_SECOND / SLICE_SECONDS
        val good = { slice: Slice ->
            slice.firstToken.at(PERCENTILE) <= bound &&
                slice.completed >= RECOVERED_GOODPUT * slice.offered
        }
        val recovered = (endSlice..slices.size - RECOVERED_SLICES).firstOrNull { index ->
            slices.subList(index, index + RECOVERED_SLICES).all(good)
        }
        return recovered?.let { ((it - endSlice) * SLICE_SECONDS).toDouble() }
    }

    private fun worst(counted: List<Slice>, of: (Slice) -> Histogram): Double =
        counted.windowed(WINDOW_SLICES).maxOf { window -> sum(window.map(of)).at(PERCENTILE) }

    private fun sum(histograms: List<Histogram>) =
        Histogram(HIGHEST_MICROSECONDS, DIGITS).apply { histograms.forEach(::add) }

    private fun Histogram.at(percentile: Double): Double =
        getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

    private fun slice() =
        slices[(time.microseconds / SECOND / SLICE_SECONDS).toInt().coerceAtMost(slices.lastIndex)]

    private companion object {
        const val SECOND = 1_000_000L
        const val SLICE_SECONDS = 10
        const val WARM_UP_SLICES = Condition.WARM_UP_SECONDS / SLICE_SECONDS
        const val WINDOW_SLICES = 6
        const val RECOVERED_SLICES = 2
        const val RECOVERED_LATENCY = 1.5
        const val RECOVERED_GOODPUT = 0.95
        const val PERCENTILE = 95.0
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val FAR_TAIL = 99.9
        const val DIGITS = 3
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
