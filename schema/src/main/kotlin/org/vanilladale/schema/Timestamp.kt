package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Point in time in milliseconds since the Unix epoch. */
@Serializable
@JvmInline
public value class Timestamp private constructor(public val epochMilliseconds: Long) :
    Comparable<Timestamp> {
    /** Returns the deadline that lies [milliseconds] after this point. */
    public fun deadlineAfter(milliseconds: Long): Deadline =
        Deadline.fromEpochMilliseconds(epochMilliseconds + milliseconds)

    /** Returns the milliseconds from [earlier] to this point; negative when [earlier] is later. */
    public fun millisecondsSince(earlier: Timestamp): Long =
        epochMilliseconds - earlier.epochMilliseconds

    override fun compareTo(other: Timestamp): Int =
        epochMilliseconds.compareTo(other.epochMilliseconds)

    override fun toString(): String = epochMilliseconds.toString()

    public companion object {
        /** Wraps [epochMilliseconds]. */
        public fun fromEpochMilliseconds(epochMilliseconds: Long): Timestamp =
            Timestamp(epochMilliseconds)
    }
}
