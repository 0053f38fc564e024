package org.vanilladale.bench.placement

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.pow
import kotlin.math.sin
import kotlin.random.Random
import org.vanilladale.bench.randomStream
import org.vanilladale.core.placement.replicaCounts

/** Seconds between two popularity reports, and between two changes of the model's popularity. */
internal const val REPORT_SECONDS = 10
private const val SECONDS_PER_HOUR = 3_600
private const val SECONDS_PER_DAY = 86_400.0
private const val SLOW_FROM_PART = 4
private const val FIRST_SHIFT_SECONDS = 3_600
private const val LEAST_SHIFT_GAP_SECONDS = 5_400
private const val MOST_SHIFT_GAP_SECONDS = 9_000

/** Popularity, rank speeds and bound of one seed over time; the same for each variant. */
internal class Workload(val size: PlacementSize, val options: WorkloadOptions, val seed: Long) {
    val seconds = options.hours * SECONDS_PER_HOUR
    private val shifts: List<Int>
    private val slowRank: Int
    private val slowFrom: Int
    private val slowUntil: Int
    private val sharesByReport: List<DoubleArray>
    private val boundByReport: DoubleArray

    init {
        val random = randomStream(seed, "workload")
        slowRank = random.nextInt(size.ranks)
        slowFrom = random.nextInt(seconds / SLOW_FROM_PART, seconds / 2)
        slowUntil = slowFrom + options.slowSeconds
        shifts = shiftTimes(random)
        sharesByReport = popularity(random)
        boundByReport = DoubleArray(sharesByReport.size) { bound(sharesByReport[it], it) }
    }

    fun sharesAt(second: Int): DoubleArray = sharesByReport[second / REPORT_SECONDS]

    fun speedAt(second: Int, rank: Int): Double =
        if (rank == slowRank && second in slowFrom until slowUntil) options.slowSpeed else 1.0

    /** Returns the lower bound of the step time: mean load or largest expert, replicated. */
    fun boundAt(second: Int): Double = boundByReport[second / REPORT_SECONDS]

    /** Returns true when no shift and no change of speed is recent at [second]. */
    fun isSettled(second: Int): Boolean =
        (shifts + slowFrom + slowUntil).none { second - it in 0 until options.settleSeconds }

    /** Returns the time since the last sudden shift, or null before the first one. */
    fun secondsSinceShift(second: Int): Int? =
        shifts.lastOrNull { it <= second }?.let { second - it }

    /** Returns the time since the last shift or change of speed, or null before the first one. */
    fun secondsSinceDisturbance(second: Int): Int? =
        (shifts + slowFrom + slowUntil).filter { it <= second }.maxOrNull()?.let { second - it }

    private fun shiftTimes(random: Random): List<Int> = buildList {
        var next = random.nextInt(FIRST_SHIFT_SECONDS / 2, FIRST_SHIFT_SECONDS)
        while (next < seconds) {
            add(next)
            next += random.nextInt(LEAST_SHIFT_GAP_SECONDS, MOST_SHIFT_GAP_SECONDS)
        }
    }

    private fun popularity(random: Random): List<DoubleArray> {
        val base = DoubleArray(size.experts) { (it + 1.0).pow(-options.zipfExponent) }
        base.shuffle(random)
        val phases = DoubleArray(size.experts) { random.nextDouble() * 2 * PI }
        val left = shifts.toMutableList()
        return List(seconds / REPORT_SECONDS) { report ->
            val second = report * REPORT_SECONDS
            if (left.isNotEmpty() && left.first() <= second) {
                left.removeAt(0)
                trade(base, random)
            }
            val day = 2 * PI * second / SECONDS_PER_DAY
            val weights = DoubleArray(size.experts) {
                base[it] * exp(options.driftAmplitude * sin(day + phases[it]))
            }
            val sum = weights.sum()
            DoubleArray(size.experts) { weights[it] / sum }
        }
    }

    private fun trade(base: DoubleArray, random: Random) {
        val count = (size.experts * options.shiftShare).toInt()
        val chosen = base.indices.shuffled(random).take(count)
        val traded = chosen.map { base[it] }.shuffled(random)
        chosen.forEachIndexed { index, expert -> base[expert] = traded[index] }
    }

    private fun bound(shares: DoubleArray, report: Int): Double {
        val spare = size.ranks * size.slots - size.experts
        val copies = replicaCounts(size.ranks, spare, shares.toList())
        val second = report * REPORT_SECONDS
        val speed = (0 until size.ranks).sumOf { speedAt(second, it) }
        return maxOf(1 / speed, shares.indices.maxOf { shares[it] / copies[it] })
    }
}
