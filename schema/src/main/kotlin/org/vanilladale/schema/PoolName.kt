package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Name that joins a route to a pool. */
@Serializable
@JvmInline
public value class PoolName private constructor(public val text: String) {
    init {
        requireIdText("PoolName", text, MAXIMUM_LENGTH)
    }

    override fun toString(): String = text

    public companion object {
        /** Longest accepted text in characters. */
        public const val MAXIMUM_LENGTH: Int = 128

        /**
         * Checks [text] and wraps it.
         *
         * @throws IllegalArgumentException if [text] is blank, too long or has control characters
         */
        public fun parse(text: String): PoolName = PoolName(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): PoolName? =
            if (isIdText(text, MAXIMUM_LENGTH)) PoolName(text) else null
    }
}
