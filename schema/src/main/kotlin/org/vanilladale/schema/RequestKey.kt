package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Idempotency key that a caller chose; a repeat of a request carries the same key. */
@Serializable
@JvmInline
public value class RequestKey private constructor(public val text: String) {
    init {
        requireIdText("RequestKey", text, MAXIMUM_LENGTH)
    }

    override fun toString(): String = text

    public companion object {
        /** Longest accepted text in characters. */
        public const val MAXIMUM_LENGTH: Int = 256

        /**
         * Checks [text] and wraps it.
         *
         * @throws IllegalArgumentException if [text] is blank, too long or has control characters
         */
        public fun parse(text: String): RequestKey = RequestKey(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): RequestKey? =
            if (isIdText(text, MAXIMUM_LENGTH)) RequestKey(text) else null
    }
}
