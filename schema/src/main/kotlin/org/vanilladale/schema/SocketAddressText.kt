package org.vanilladale.schema

import kotlin.jvm.JvmInline
import kotlinx.serialization.Serializable

/** IP number and port, such as `10.0.0.1:7000` or `[::1]:7000`. */
@Serializable
@JvmInline
public value class SocketAddressText private constructor(public val text: String) {
    init {
        require(isSocketAddress(text)) {
            "an address must be an IP number and a port such as 10.0.0.1:7000; " +
                "correct '${text.take(MAXIMUM_LENGTH)}'"
        }
    }

    /** IP number without brackets. */
    public val host: String get() = text.substringBeforeLast(':').removeSurrounding("[", "]")

    /** Port from 1 to 65535. */
    public val port: Int get() = text.substringAfterLast(':').toInt()

    override fun toString(): String = text

    public companion object {
        private const val MAXIMUM_LENGTH = 64
        private const val HIGHEST_PORT = 65_535
        private const val OCTET = """(25[0-5]|2[0-4]\d|1?\d{1,2})"""
        private val ipNumber = Regex("""$OCTET(\.$OCTET){3}|\[[0-9a-fA-F:.]+]""")

        private fun isSocketAddress(text: String): Boolean {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return false
            return text.length <= MAXIMUM_LENGTH && port in 1..HIGHEST_PORT &&
                ipNumber.matches(text.substringBeforeLast(':'))
        }

        /**
         * Checks [text] and wraps it.
         *
         * @throws IllegalArgumentException if [text] is no IP number with a port
         */
        public fun parse(text: String): SocketAddressText = SocketAddressText(text)

        /** Returns null where [parse] throws. */
        public fun parseOrNull(text: String): SocketAddressText? =
            if (isSocketAddress(text)) SocketAddressText(text) else null
    }
}
