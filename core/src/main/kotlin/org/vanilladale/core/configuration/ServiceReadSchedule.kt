package org.vanilladale.core.configuration

import kotlin.random.Random
import org.vanilladale.schema.Timestamp

private const val DEFAULT_PEERS_MILLISECONDS = 10_000L
private const val FIRST_READ_START_PERCENT = 10
private const val FIRST_READ_WINDOW_PERCENT = 80
private const val HUNDRED_PERCENT = 100
private const val MIN_INTERVAL_MILLISECONDS = 8_000L
private const val MAX_INTERVAL_MILLISECONDS = 12_000L
private const val MAX_INTERVAL_AFTER_FAILURE_MILLISECONDS = 10_000L

/**
 * Determines when this process reads the configuration service.
 *
 * With a mean interval of 10 s, 1,190 processes make 119 reads per second. The limit is 200 reads
 * per second, which leaves room for random variation between seconds. A change must be active
 * everywhere within 16 s, even if only one process can reach the service. The longest interval and
 * the settling time together are shorter than that. A failed read does not lengthen the interval:
 * one that began before the service returned takes 2 s, so the next one follows sooner.
 *
 * The first read occurs between 10 % and 90 % of [peersMilliseconds], the wait for peers after the
 * start. This gives peers time to answer first, and with the default settings the first tables are
 * active within 12 s, including the settling time. If all 1,190 processes start at once, spreading
 * the first reads over 8 s results in 149 reads per second. Spreading them over 7 s resulted in
 * 207 reads in the busiest second of 50 starts, which is above the limit.
 */
public class ServiceReadSchedule(
    private val random: Random,
    private val peersMilliseconds: Long = DEFAULT_PEERS_MILLISECONDS,
) {
    /** Returns the time of the first read. */
    public fun first(now: Timestamp): Timestamp = after(
        now,
        peersMilliseconds * FIRST_READ_START_PERCENT / HUNDRED_PERCENT +
            random.nextLong(peersMilliseconds * FIRST_READ_WINDOW_PERCENT / HUNDRED_PERCENT + 1),
    )

    /**
     * Returns the time of the next read after [failures] consecutive failed reads, which is 0 after
     * a successful read.
     */
    public fun next(now: Timestamp, failures: Int): Timestamp {
        val most = if (failures == 0) {
            MAX_INTERVAL_MILLISECONDS
        } else {
            MAX_INTERVAL_AFTER_FAILURE_MILLISECONDS
        }
        return after(now, random.nextLong(MIN_INTERVAL_MILLISECONDS, most + 1))
    }

    private fun after(now: Timestamp, milliseconds: Long): Timestamp =
        Timestamp.fromEpochMilliseconds(now.epochMilliseconds + milliseconds)
}
