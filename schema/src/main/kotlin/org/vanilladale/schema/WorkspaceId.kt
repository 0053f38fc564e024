package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Customer account to which limits and fair shares apply. */
@Serializable
@JvmInline
public value class WorkspaceId private constructor(public val text: String) {
    init {
        requireIdText("WorkspaceId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): WorkspaceId = WorkspaceId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): WorkspaceId? =
            if (isIdText(text, MAXIMUM_LENGTH)) WorkspaceId(text) else null
    }
}
