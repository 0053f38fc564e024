package org.vanilladale.core.configuration

import kotlin.random.Random
import org.vanilladale.schema.Timestamp

private const val PEERS_FIRST_MILLISECONDS = 2_000L
private const val SHORTEST_MILLISECONDS = 8_000L
private const val LONGEST_MILLISECONDS = 12_000L
private const val LONGEST_BACKOFF_FACTOR = 4L

/**
 * Times of this process's reads of the configuration service.
 *
 * A mean of 10 s gives 119 reads a second for 1,190 processes; the limit is 200, and the rest is
 * for the spread from second to second. The longest wait and the settling time together stay below
 * the 16 s that a change may take even when a single process can reach the service.
 */
public class ServiceReadSchedule(private val random: Random) {
    /** Returns the first read, after peers had time to answer and spread over a mean interval. */
    public fun first(now: Timestamp): Timestamp = after(
        now,
        PEERS_FIRST_MILLISECONDS +
            random.nextLong((SHORTEST_MILLISECONDS + LONGEST_MILLISECONDS) / 2),
    )

    /** Returns the next read after [failures] failed ones in a row; 0 after an answer. */
    public fun next(now: Timestamp, failures: Int): Timestamp {
        val factor = (1L shl failures.coerceIn(0, 2)).coerceAtMost(LONGEST_BACKOFF_FACTOR)
        val wait = random.nextLong(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS + 1)
        return after(now, wait * factor)
    }

    private fun after(now: Timestamp, milliseconds: Long): Timestamp =
        Timestamp.fromEpochMilliseconds(now.epochMilliseconds + milliseconds)
}
