package org.vanilladale.gateway

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import org.vanilladale.core.retry.AttemptEnd

/** A complete answer of a target, unchanged. */
internal class BufferedAnswer(val status: Int, val headers: MultiMap, val body: Buffer)

/** Result of one attempt. */
internal sealed interface AttemptResult {
    /** The caller has received the complete answer. */
    data class Delivered(val status: Int) : AttemptResult

    /**
     * The caller has not received a complete answer.
     *
     * @property isCrash whether the target crashed before it sent anything of its answer
     * @property isTargetWell whether the failure is none of the target, because it asks for time or
     *   because the caller does not read
     * @property answer error answer of the target, which the caller receives if no other attempt
     *   follows
     */
    class Failed(
        val end: AttemptEnd,
        val detail: String,
        val answer: BufferedAnswer? = null,
        val isCrash: Boolean = false,
        val isTargetWell: Boolean = false,
    ) : AttemptResult
}
