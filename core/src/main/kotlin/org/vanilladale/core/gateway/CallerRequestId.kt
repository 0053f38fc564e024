package org.vanilladale.core.gateway

import kotlin.jvm.JvmInline

/** Id that a caller assigned to one attempt at a request. */
@JvmInline
public value class CallerRequestId private constructor(public val text: String) {
    override fun toString(): String = text

    public companion object {
        private const val MAXIMUM_LENGTH = 128

        /**
         * Parses [text]; returns null if it is blank, longer than 128 characters, or contains
         * control characters.
         */
        public fun parseOrNull(text: String): CallerRequestId? =
            text.takeIf { it.isNotBlank() && it.length <= MAXIMUM_LENGTH }
                ?.takeIf { candidate -> candidate.none { it.isISOControl() } }
                ?.let(::CallerRequestId)
    }
}
