package org.vanilladale.entry

/** A request of a caller with its complete body. */
internal class CallerRequest(
    val head: CallerRequestHead,
    val contentType: String,
    val body: ByteArray,
)
