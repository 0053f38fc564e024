package org.vanilladale.core.placement

/**
 * Cost of a map: predicted skew against moved experts.
 *
 * @property skewWeight from 0 (only moves count) to 1 (only skew counts), set per pool
 * @property skewPerMove skew that one moved expert weighs as much as, at equal weights
 */
public data class PlacementCost(val skewWeight: Double, val skewPerMove: Double) {
    init {
        require(skewWeight in 0.0..1.0) {
            "skewWeight must be from 0 to 1; found $skewWeight"
        }
        require(skewPerMove >= 0) { "skewPerMove must not be negative; found $skewPerMove" }
    }

    /** Returns the cost of reaching predicted [skew] (slowest over mean) with [moves]. */
    public fun of(skew: Double, moves: Int): Double =
        skewWeight * (skew - 1) + (1 - skewWeight) * skewPerMove * moves
}
