package org.vanilladale.agent

import org.vanilladale.core.stream.AnswerAssembler
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Load
import org.vanilladale.schema.Refused
import org.vanilladale.schema.Submit

/** Makes the frames that answer one copy of a bound request. */
internal object BoundAnswer {
    /** UTF-16 code units in a frame; at most 3 bytes each, which stays below 1 MiB. */
    private const val PIECE = 131_072

    /** Returns the frames for [outcome], from the offset that [submit] asks for. */
    fun frames(submit: Submit, outcome: BoundOutcome, load: Load): List<Frame> = when (outcome) {
        is BoundOutcome.Answered -> pieces(submit, outcome.text) + AnswerEnd(
            submit.request,
            submit.attempt,
            outcome.text.length.toLong(),
            AnswerAssembler.digestOf(outcome.text),
            load,
        )

        is BoundOutcome.Refused -> listOf(
            Refused(
                submit.request,
                submit.attempt,
                outcome.refusal.reason.code,
                outcome.refusal.run,
                outcome.refusal.retryAt,
                load,
            ),
        )
    }

    private fun pieces(submit: Submit, text: String): List<Answer> = buildList {
        var start = submit.offset.coerceIn(0, text.length.toLong()).toInt()
        while (start < text.length) {
            var end = minOf(start + PIECE, text.length)
            // Half of a surrogate pair has no UTF-8 form.
            if (end < text.length && text[end].isLowSurrogate()) end++
            val piece = text.substring(start, end)
            add(Answer(submit.request, submit.attempt, start.toLong(), piece))
            start = end
        }
    }
}
