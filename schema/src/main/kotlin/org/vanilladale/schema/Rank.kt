package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Position of a target in its rank group, from 0. */
@Serializable
@JvmInline
public value class Rank(public val value: Int) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
