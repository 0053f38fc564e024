package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Identifies a prompt prefix that an engine may have cached. */
@Serializable
@JvmInline
public value class PrefixId private constructor(public val text: String) {
    init {
        requireIdText("PrefixId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): PrefixId = PrefixId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): PrefixId? =
            if (isIdText(text, MAXIMUM_LENGTH)) PrefixId(text) else null
    }
}
