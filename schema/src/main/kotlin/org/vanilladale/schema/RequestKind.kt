package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Kind of request that a caller names, such as `draft` or `order`. */
@Serializable
@JvmInline
public value class RequestKind private constructor(public val text: String) {
    init {
        requireIdText("RequestKind", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): RequestKind = RequestKind(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): RequestKind? =
            if (isIdText(text, MAXIMUM_LENGTH)) RequestKind(text) else null
    }
}
