package org.vanilladale.runtime

import org.vanilladale.schema.Timestamp

/** Returns the wall clock of this VM. */
public fun systemNow(): Timestamp = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())

private val steadyOffset =
    System.currentTimeMillis() - System.nanoTime() / NANOSECONDS_PER_MILLISECOND
private const val NANOSECONDS_PER_MILLISECOND = 1_000_000

/**
 * Returns the time of day at the start of this process plus the time on the steady clock since, so
 * that deadlines hold while the wall clock is set.
 */
public fun steadyNow(): Timestamp = Timestamp.fromEpochMilliseconds(
    steadyOffset + System.nanoTime() / NANOSECONDS_PER_MILLISECOND,
)
