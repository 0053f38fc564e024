package org.vanilladale.core.stream

import org.vanilladale.schema.Digest

/** What one frame means for the caller of the request. */
public sealed interface AssemblyStep {
    /** Send [text] at [offset] of the whole answer; empty text needs no line. */
    public data class Deliver(val offset: Long, val text: String) : AssemblyStep

    /** The whole answer is delivered and checked: send the end line. */
    public data class Complete(val length: Long, val digest: Digest) : AssemblyStep

    /** The frame was ignored and counted. */
    public data class Dropped(val reason: DropReason) : AssemblyStep

    /** The answer ends here as interrupted. */
    public data class Damaged(val damage: AnswerDamage) : AssemblyStep
}
