package org.vanilladale.entry

import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.TargetId

/** Where the lines of an answer go. */
internal interface AnswerSink {
    /** True once a line was written; a refusal is then a last line instead of a status. */
    val started: Boolean

    /** Writes one line; suspends while the caller reads slowly. */
    suspend fun write(line: AnswerLine, target: TargetId)
}
