package org.vanilladale.bench.call

/**
 * One request of a caller.
 *
 * @property bound true for a non-idempotent kind: a binding is asked for first
 * @property waitMilliseconds time in which refused or failed requests are repeated
 */
internal class CallRequest(
    val workspace: String,
    val kind: String,
    val key: String,
    val contentType: String,
    val body: ByteArray,
    val bound: Boolean,
    val waitMilliseconds: Long,
)
