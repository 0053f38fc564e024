package org.vanilladale.core.configuration

import kotlin.random.Random
import org.vanilladale.schema.Timestamp

private const val DEFAULT_PEERS_MILLISECONDS = 10_000L
private const val FIRST_READ_START_PERCENT = 10
private const val FIRST_READ_WINDOW_PERCENT = 80
private const val HUNDRED_PERCENT = 100
private const val MIN_INTERVAL_MILLISECONDS = 8_000L
private const val MAX_INTERVAL_MILLISECONDS = 12_000L
private const val MAX_BACKOFF_FACTOR = 4L

/**
 * Times of this process's reads of the configuration service.
 *
 * A mean of 10 s gives 119 reads a second for 1,190 processes; the limit is 200, and the rest is
 * for the spread from second to second. The longest wait and the settling time together stay below
 * the 16 s that a change may take even when a single process can reach the service.
 *
 * The first read lies between 10 % and 90 % of [peersMilliseconds], the wait for peers after the
 * start: peers can answer before, and with the settling time the first tables are in force within
 * 12 s at the default. When all 1,190 processes start at once, 8 s give 149 reads a second; 7 s
 * gave 207 in the busiest second of 50 starts, above the limit.
 */
public class ServiceReadSchedule(
    private val random: Random,
    private val peersMilliseconds: Long = DEFAULT_PEERS_MILLISECONDS,
) {
    /** Returns the first read. */
    public fun first(now: Timestamp): Timestamp = after(
        now,
        peersMilliseconds * FIRST_READ_START_PERCENT / HUNDRED_PERCENT +
            random.nextLong(peersMilliseconds * FIRST_READ_WINDOW_PERCENT / HUNDRED_PERCENT + 1),
    )

    /** Returns the next read after [failures] failed ones in a row; 0 after an answer. */
    public fun next(now: Timestamp, failures: Int): Timestamp {
        val factor = (1L shl failures.coerceIn(0, 2)).coerceAtMost(MAX_BACKOFF_FACTOR)
        val wait = random.nextLong(MIN_INTERVAL_MILLISECONDS, MAX_INTERVAL_MILLISECONDS + 1)
        return after(now, wait * factor)
    }

    private fun after(now: Timestamp, milliseconds: Long): Timestamp =
        Timestamp.fromEpochMilliseconds(now.epochMilliseconds + milliseconds)
}
