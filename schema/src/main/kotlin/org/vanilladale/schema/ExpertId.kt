package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Position of an expert in its layer, from 0. */
@Serializable
@JvmInline
public value class ExpertId(public val value: Int) : Comparable<ExpertId> {
    override fun compareTo(other: ExpertId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
