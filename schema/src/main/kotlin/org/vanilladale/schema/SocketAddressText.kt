package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** IP number and port, `10.0.0.1:7000` or `[::1]:7000`. */
@Serializable
@JvmInline
public value class SocketAddressText private constructor(public val text: String) {
    init {
        requireIdText("SocketAddressText", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): SocketAddressText = SocketAddressText(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): SocketAddressText? =
            if (isIdText(text, MAXIMUM_LENGTH)) SocketAddressText(text) else null
    }
}
