package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Model that a pool serves. */
@Serializable
@JvmInline
public value class ModelName private constructor(public val text: String) {
    init {
        requireIdText("ModelName", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): ModelName = ModelName(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): ModelName? =
            if (isIdText(text, MAXIMUM_LENGTH)) ModelName(text) else null
    }
}
