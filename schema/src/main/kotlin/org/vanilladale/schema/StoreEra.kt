package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Number that the platform's store raises each time it is restored from a backup. */
@Serializable
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Returns the era in [text], or null if it is not a number of at least 0. */
        public fun parseOrNull(text: String): StoreEra? =
            text.trim().toLongOrNull()?.takeIf { it >= 0 }?.let(::StoreEra)
    }
}
