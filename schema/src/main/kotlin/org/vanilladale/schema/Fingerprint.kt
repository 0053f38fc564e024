package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Digest over the content of a request that is suspected of crashing targets. */
@Serializable
@JvmInline
public value class Fingerprint private constructor(public val text: String) {
    init {
        requireIdText("Fingerprint", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): Fingerprint = Fingerprint(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): Fingerprint? =
            if (isIdText(text, MAXIMUM_LENGTH)) Fingerprint(text) else null
    }
}
