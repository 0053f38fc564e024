package org.vanilladale.entry

/** One request of a caller with its whole body. */
internal class CallerRequest(
    val head: CallerRequestHead,
    val contentType: String,
    val body: ByteArray,
)
