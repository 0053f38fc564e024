package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import org.vanilladale.core.retry.AttemptEnd

/** A whole answer of a target, as it came. */
internal class BufferedAnswer(val status: Int, val headers: MultiMap, val body: Buffer)

/** How one attempt ended. */
internal sealed interface AttemptResult {
    /** The caller has the whole answer. */
    data class Delivered(val status: Int) : AttemptResult

    /**
     * The caller lacks a whole answer.
     *
     * @property answer the failure that the target answered with, for the caller if there is no
     *   other attempt
     */
    class Failed(val end: AttemptEnd, val detail: String, val answer: BufferedAnswer? = null) :
        AttemptResult
}
