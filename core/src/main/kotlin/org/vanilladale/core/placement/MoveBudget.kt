package org.vanilladale.core.placement

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Immutable limit on the number of expert moves within any period of a fixed length.
 *
 * The period is a sliding window: spent moves return to the budget one period later. A counter that
 * is reset at the end of each period would allow the moves of two periods in quick succession.
 */
public class MoveBudget private constructor(
    public val limit: Int,
    private val spent: List<SpentMoves>,
) {
    private data class SpentMoves(val moves: Int, val returnsAt: Deadline)

    /** Returns the number of moves that can be spent at [now]. */
    public fun remaining(now: Timestamp): Int =
        (limit - spent.filterNot { it.returnsAt.hasPassed(now) }.sumOf { it.moves })
            .coerceAtLeast(0)

    /** Returns when the next spent moves return to the budget, or null if none are spent. */
    public fun nextReturnOrNull(now: Timestamp): Deadline? =
        spent.filterNot { it.returnsAt.hasPassed(now) }.minOfOrNull { it.returnsAt }

    /** Returns the budget after spending [moves], which return to it at [returnsAt]. */
    public fun spend(moves: Int, now: Timestamp, returnsAt: Deadline): MoveBudget {
        require(moves >= 0) { "moves must not be negative; found $moves" }
        val outstanding = spent.filterNot { it.returnsAt.hasPassed(now) }
        return MoveBudget(limit, outstanding + SpentMoves(moves, returnsAt))
    }

    public companion object {
        /** Returns a budget of [limit] moves, none of which is spent. */
        public fun of(limit: Int): MoveBudget {
            require(limit >= 0) { "limit must not be negative; found $limit" }
            return MoveBudget(limit, emptyList())
        }
    }
}
