package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Back end of a pool: one model replica, rank or service replica. */
@Serializable
@JvmInline
public value class TargetId private constructor(public val text: String) {
    init {
        requireIdText("TargetId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): TargetId = TargetId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): TargetId? =
            if (isIdText(text, MAXIMUM_LENGTH)) TargetId(text) else null
    }
}
