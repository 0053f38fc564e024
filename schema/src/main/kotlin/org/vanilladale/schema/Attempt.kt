package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Number of an attempt at a request, from 1. */
@Serializable
@JvmInline
public value class Attempt(public val value: Int) : Comparable<Attempt> {
    override fun compareTo(other: Attempt): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
