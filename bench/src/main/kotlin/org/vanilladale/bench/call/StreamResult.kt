package org.vanilladale.bench.call

import org.vanilladale.schema.RefusalAnswer

/** How one request to one entry ended. */
internal sealed interface StreamResult {
    data object Whole : StreamResult

    /** Refused; [status] is 200 when the refusal came as the last line. */
    data class Refused(val refusal: RefusalAnswer, val status: Int) : StreamResult

    data class Damaged(val found: String) : StreamResult

    /** The connection failed; [found] says how. */
    data class ConnectionFailed(val found: String) : StreamResult

    /** The entry has no such endpoint. */
    data object Unavailable : StreamResult
}
