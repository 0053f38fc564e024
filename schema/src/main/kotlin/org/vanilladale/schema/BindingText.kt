package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Text form of a [Binding] as callers carry it. */
@Serializable
@JvmInline
public value class BindingText private constructor(public val text: String) {
    init {
        requireIdText("BindingText", text, MAXIMUM_LENGTH)
    }

    override fun toString(): String = text

    public companion object {
        /** Longest accepted text in characters. */
        public const val MAXIMUM_LENGTH: Int = 1024

        /**
         * Checks [text] and wraps it.
         *
         * @throws IllegalArgumentException if [text] is blank, too long or has control characters
         */
        public fun parse(text: String): BindingText = BindingText(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): BindingText? =
            if (isIdText(text, MAXIMUM_LENGTH)) BindingText(text) else null
    }
}
