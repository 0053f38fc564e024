package org.vanilladale.core.placement

/**
 * Cost function that weighs the predicted skew of a map against the moves that lead to it.
 *
 * @property skewWeight weight from 0 (only moves count) to 1 (only skew counts), set per pool
 * @property skewPerMove amount of skew that costs as much as one moved expert at weight 0.5
 */
public data class PlacementCost(val skewWeight: Double, val skewPerMove: Double) {
    init {
        require(skewWeight in 0.0..1.0) {
            "skewWeight must be from 0 to 1; found $skewWeight"
        }
        require(skewPerMove >= 0) { "skewPerMove must not be negative; found $skewPerMove" }
    }

    /**
     * Returns the cost of reaching a predicted [skew], the time of the slowest rank relative to the
     * mean, with [moves] moved experts.
     */
    public fun of(skew: Double, moves: Int): Double =
        skewWeight * (skew - 1) + (1 - skewWeight) * skewPerMove * moves
}
