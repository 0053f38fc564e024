package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Identifies one crash of one target. */
@Serializable
@JvmInline
public value class CrashId private constructor(public val text: String) {
    init {
        requireIdText("CrashId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): CrashId = CrashId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): CrashId? =
            if (isIdText(text, MAXIMUM_LENGTH)) CrashId(text) else null
    }
}
