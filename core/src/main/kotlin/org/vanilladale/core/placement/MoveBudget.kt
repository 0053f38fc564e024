package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Expert moves allowed in any period of a fixed length.
 *
 * Spent moves return at a deadline, so that no two periods can be used up back to back, as they
 * could be with a counter that resets. Immutable.
 */
public class MoveBudget private constructor(
    public val limit: Int,
    private val spent: List<SpentMoves>,
) {
    private data class SpentMoves(val moves: Int, val returnsAt: Deadline)

    /** Returns the moves left at [now]. */
    public fun remaining(now: Timestamp): Int =
        (limit - spent.filterNot { it.returnsAt.hasPassed(now) }.sumOf { it.moves })
            .coerceAtLeast(0)

    /** Returns when the next spent moves return, or null when none are out at [now]. */
    public fun nextReturnOrNull(now: Timestamp): Deadline? =
        spent.filterNot { it.returnsAt.hasPassed(now) }.minOfOrNull { it.returnsAt }

    /** Returns the budget after [moves] that return at [returnsAt]. */
    public fun spend(moves: Int, now: Timestamp, returnsAt: Deadline): MoveBudget {
        require(moves >= 0) { "moves must not be negative; found $moves" }
        val outstanding = spent.filterNot { it.returnsAt.hasPassed(now) }
        return MoveBudget(limit, outstanding + SpentMoves(moves, returnsAt))
    }

    public companion object {
        /** Returns an unused budget of [limit] moves. */
        public fun of(limit: Int): MoveBudget {
            require(limit >= 0) { "limit must not be negative; found $limit" }
            return MoveBudget(limit, emptyList())
        }
    }
}
