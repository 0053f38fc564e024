package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Identifies a request on one connection between an entry and an agent. */
@Serializable
@JvmInline
public value class RequestId(public val value: Long) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
