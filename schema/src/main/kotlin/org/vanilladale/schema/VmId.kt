package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Virtual machine that runs one process of the system. */
@Serializable
@JvmInline
public value class VmId private constructor(public val text: String) {
    init {
        requireIdText("VmId", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): VmId = VmId(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): VmId? =
            if (isIdText(text, MAXIMUM_LENGTH)) VmId(text) else null
    }
}
