package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Number of a lock-step step of a rank group. */
@Serializable
@JvmInline
public value class Step(public val value: Long) : Comparable<Step> {
    override fun compareTo(other: Step): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
