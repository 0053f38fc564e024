package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Version of a model or adapter. */
@Serializable
@JvmInline
public value class ModelVersion private constructor(public val text: String) {
    init {
        requireIdText("ModelVersion", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): ModelVersion = ModelVersion(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): ModelVersion? =
            if (isIdText(text, MAXIMUM_LENGTH)) ModelVersion(text) else null
    }
}
