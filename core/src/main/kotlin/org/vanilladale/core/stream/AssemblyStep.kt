package org.vanilladale.core.stream

import org.vanilladale.schema.Digest

/** What has to be sent to the caller of a request after one frame was processed. */
public sealed interface AssemblyStep {
    /** The [text] that starts at [offset] of the whole answer. If it is empty, no line is sent. */
    public data class Deliver(val offset: Long, val text: String) : AssemblyStep

    /** The end line, because the whole answer has been delivered and verified. */
    public data class Complete(val length: Long, val digest: Digest) : AssemblyStep

    /** Nothing, because the frame was dropped and counted. */
    public data class Dropped(val reason: DropReason) : AssemblyStep

    /** The end of the answer as interrupted. */
    public data class Damaged(val damage: AnswerDamage) : AssemblyStep
}
