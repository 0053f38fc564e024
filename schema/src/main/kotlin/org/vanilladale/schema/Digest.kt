package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** SHA-256 digest in hexadecimal. */
@Serializable
@JvmInline
public value class Digest private constructor(public val text: String) {
    init {
        requireIdText("Digest", text, MAXIMUM_LENGTH)
    }

    override fun toString(): String = text

    public companion object {
        /** Longest accepted text in characters. */
        public const val MAXIMUM_LENGTH: Int = 64

        /**
         * Checks [text] and wraps it.
         *
         * @throws IllegalArgumentException if [text] is blank, too long or has control characters
         */
        public fun parse(text: String): Digest = Digest(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): Digest? =
            if (isIdText(text, MAXIMUM_LENGTH)) Digest(text) else null
    }
}
