package org.vanilladale.core.placement

import kotlin.math.abs
import kotlin.math.exp
import org.vanilladale.schema.Rank
import org.vanilladale.schema.Timestamp

/** Lower bound of a speed. Predicted times are inversely proportional to it. */
private const val MIN_SPEED = 0.05

/** Share of the tokens below which the speed of a rank cannot be measured. */
private const val MIN_LOAD_SHARE = 1e-6

/**
 * Immutable relative speeds of the ranks of a group, measured from their loads and step times.
 *
 * The median rank has speed 1. Speeds within the dead band around 1 count as 1, so that measurement
 * noise causes no moves.
 */
public class RankSpeed private constructor(
    private val speeds: DoubleArray,
    private val observedAt: Timestamp?,
    private val options: RankSpeedOptions,
) {
    public val rankCount: Int get() = speeds.size

    /** Speed of the slowest rank, without the dead band. */
    public val slowest: Double get() = speeds.min()

    /** Returns the speed of [rank], with the dead band applied. */
    public fun speedOf(rank: Rank): Double {
        val speed = speeds[rank.value]
        return if (abs(speed - 1) <= options.deadBand) 1.0 else speed
    }

    /** Returns the time of each rank for its work, relative to the usual one. */
    public fun slowdowns(): List<Double> = speeds.indices.map { 1 / speedOf(Rank(it)) }

    /**
     * Returns the speeds after a report up to [at] with the [loads] of the ranks, as shares of the
     * tokens, and their mean step times in [milliseconds], both by rank.
     *
     * The speed of a rank without load can't be measured and returns to 1 with the time constant. A
     * report that isn't newer than the last one or is of a different size is ignored.
     */
    public fun observe(loads: List<Double>, milliseconds: List<Double>, at: Timestamp): RankSpeed {
        val elapsed = observedAt?.let { at.millisecondsSince(it) }
        val sizesMatch = loads.size == rankCount && milliseconds.size == rankCount
        if (!sizesMatch || (elapsed != null && elapsed <= 0)) return this
        val rates = List(rankCount) { rank ->
            val measured = loads[rank] > MIN_LOAD_SHARE && milliseconds[rank] > 0
            if (measured) loads[rank] / milliseconds[rank] else null
        }
        val sorted = rates.filterNotNull().sorted()
        if (sorted.isEmpty()) return this
        val median = sorted[sorted.size / 2]
        val previousWeight =
            elapsed?.let { exp(-it.toDouble() / options.timeConstantMilliseconds) } ?: 0.0
        val smoothed = DoubleArray(rankCount) { rank ->
            val speed = (rates[rank] ?: median) / median
            (speeds[rank] * previousWeight + speed * (1 - previousWeight)).coerceAtLeast(MIN_SPEED)
        }
        return RankSpeed(smoothed, at, options)
    }

    public companion object {
        /**
         * Returns the speeds of ranks with the given [slowdowns]: a rank with slowdown 2 takes
         * twice the usual time for its work. A rank whose slowdown isn't positive has speed 1.
         */
        public fun fromSlowdowns(
            slowdowns: List<Double>,
            options: RankSpeedOptions = RankSpeedOptions(),
        ): RankSpeed {
            require(slowdowns.isNotEmpty()) { "slowdowns must not be empty" }
            val speeds = slowdowns.map { slowdown -> if (slowdown > 0) 1 / slowdown else 1.0 }
            return RankSpeed(
                DoubleArray(slowdowns.size) { speeds[it].coerceAtLeast(MIN_SPEED) },
                null,
                options,
            )
        }

        /** Returns speed 1 for [rankCount] ranks, the speeds before any report. */
        public fun even(
            rankCount: Int,
            options: RankSpeedOptions = RankSpeedOptions(),
        ): RankSpeed {
            require(rankCount > 0) { "rankCount must be positive; found $rankCount" }
            return RankSpeed(DoubleArray(rankCount) { 1.0 }, null, options)
        }
    }
}
