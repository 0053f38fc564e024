package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Fencing number of a lease; it only rises. */
@Serializable
@JvmInline
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
