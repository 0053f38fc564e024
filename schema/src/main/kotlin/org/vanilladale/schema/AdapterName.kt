package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Name of an adapter of a model. */
@Serializable
@JvmInline
public value class AdapterName private constructor(public val text: String) {
    init {
        requireIdText("AdapterName", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): AdapterName = AdapterName(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): AdapterName? =
            if (isIdText(text, MAXIMUM_LENGTH)) AdapterName(text) else null
    }
}
