package org.vanilladale.entry

import org.vanilladale.schema.AnswerLine
import org.vanilladale.schema.TargetId

/** Writes the lines of an answer to a caller. */
internal interface AnswerSink {
    /** True once a line was written. A refusal is then sent as the last line, not as a status. */
    val started: Boolean

    /** Writes one [line] of the answer of [target]. Suspends while the caller reads slowly. */
    suspend fun write(line: AnswerLine, target: TargetId)
}
