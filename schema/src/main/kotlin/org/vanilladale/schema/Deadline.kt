package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Point in time, in milliseconds since the Unix epoch, from which something no longer holds. */
@Serializable
@JvmInline
public value class Deadline private constructor(public val epochMilliseconds: Long) :
    Comparable<Deadline> {
    /** Returns true from the deadline itself on. */
    public fun hasPassed(now: Timestamp): Boolean = now.epochMilliseconds >= epochMilliseconds

    /** Returns the milliseconds left at [now], at least 0. */
    public fun millisecondsLeft(now: Timestamp): Long =
        (epochMilliseconds - now.epochMilliseconds).coerceAtLeast(0)

    override fun compareTo(other: Deadline): Int =
        epochMilliseconds.compareTo(other.epochMilliseconds)

    override fun toString(): String = epochMilliseconds.toString()

    public companion object {
        /** Wraps [epochMilliseconds]. */
        public fun fromEpochMilliseconds(epochMilliseconds: Long): Deadline =
            Deadline(epochMilliseconds)
    }
}
