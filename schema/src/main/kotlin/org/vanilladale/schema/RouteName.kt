package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Name of a row in the table of routes. */
@Serializable
@JvmInline
public value class RouteName private constructor(public val text: String) {
    init {
        requireIdText("RouteName", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): RouteName = RouteName(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): RouteName? =
            if (isIdText(text, MAXIMUM_LENGTH)) RouteName(text) else null
    }
}
