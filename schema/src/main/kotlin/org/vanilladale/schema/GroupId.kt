package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Rank group whose targets run in lock-step. */
@Serializable
@JvmInline
public value class GroupId private constructor(public val text: String) {
    init {
        requireIdText("GroupId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): GroupId = GroupId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): GroupId? =
            if (isIdText(text, MAXIMUM_LENGTH)) GroupId(text) else null
    }
}
