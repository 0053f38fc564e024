package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** Data centre in which a VM runs. */
@Serializable
@JvmInline
public value class DataCentreName private constructor(public val text: String) {
    init {
        requireIdText("DataCentreName", text, MAXIMUM_LENGTH)
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
        public fun parse(text: String): DataCentreName = DataCentreName(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): DataCentreName? =
            if (isIdText(text, MAXIMUM_LENGTH)) DataCentreName(text) else null
    }
}
