package org.vanilladale.core.stream

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.RequestId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AnswerAssemblerTest {
    private val id = RequestId(1)

    private fun piece(offset: Long, text: String, attempt: Int = 1, request: RequestId = id) =
        Answer(request, Attempt(attempt), offset, text)

    private fun end(text: String, attempt: Int = 1) =
        AnswerEnd(id, Attempt(attempt), text.length.toLong(), AnswerAssembler.digestOf(text))

    private fun dropped(reason: DropReason) = AssemblyStep.Dropped(reason)

    private fun damaged(damage: AnswerDamage) = AssemblyStep.Damaged(damage)

    @Test
    fun `only the expected piece of the current attempt is delivered`() {
        val assembler = AnswerAssembler(id)
        expectThat(assembler.take(piece(0, "a", attempt = 0)))
            .isEqualTo(dropped(DropReason.UNSTARTED_ATTEMPT))
        assembler.startAttempt()
        expectThat(assembler.take(piece(0, "żółty"))).isEqualTo(AssemblyStep.Deliver(0, "żółty"))
        listOf(
            piece(0, "żółty") to DropReason.OFFSET_BEHIND,
            piece(6, "x") to DropReason.OFFSET_AHEAD,
            piece(5, "x", attempt = 2) to DropReason.UNSTARTED_ATTEMPT,
            piece(5, "x", request = RequestId(2)) to DropReason.OTHER_REQUEST,
        ).forEach { (frame, reason) ->
            expectThat(assembler.take(frame)).isEqualTo(dropped(reason))
            expectThat(assembler.dropped(reason) > 0).isEqualTo(true)
        }
        expectThat(assembler.take(end("żółty pas"))).isEqualTo(dropped(DropReason.END_AHEAD))
        expectThat(assembler.startAttempt()).isEqualTo(AttemptStart(Attempt(2), 5, "żółty"))
        expectThat(assembler.take(piece(5, " x"))).isEqualTo(dropped(DropReason.OLD_ATTEMPT))
        assembler.take(piece(5, " pas", attempt = 2))
        val last = end("żółty pas", attempt = 2)
        expectThat(assembler.take(last)).isEqualTo(AssemblyStep.Complete(9, last.digest))
        expectThat(assembler.take(last)).isEqualTo(dropped(DropReason.CLOSED))
    }

    @Test
    fun `an answer with a wrong end mark or too much text is closed as damaged`() {
        mapOf(
            "ab" to AnswerDamage.END_BEHIND,
            "abd" to AnswerDamage.DIGEST_DIFFERS,
            "abc" to AnswerDamage.RESUME_BEYOND_END,
        ).forEach { (endText, damage) ->
            val assembler = AnswerAssembler(id, resumeOffset = 4)
            assembler.startAttempt()
            assembler.take(piece(0, "abc"))
            expectThat(assembler.take(end(endText))).isEqualTo(damaged(damage))
            expectThat(assembler.take(end("abc"))).isEqualTo(dropped(DropReason.CLOSED))
        }
        val short = AnswerAssembler(id, maximumLength = 2)
        short.startAttempt()
        expectThat(short.take(piece(0, "abc"))).isEqualTo(damaged(AnswerDamage.TOO_LONG))
    }

    /** Guards against delivering text again that the caller already has. */
    @Test
    fun `a resumed answer is delivered from the offset of the caller`() {
        val assembler = AnswerAssembler(id, resumeOffset = 4)
        assembler.startAttempt()
        listOf("abc" to "", "def" to "ef", "gh" to "gh").fold(0L) { offset, (text, delivered) ->
            expectThat(assembler.take(piece(offset, text)))
                .isEqualTo(AssemblyStep.Deliver(offset + text.length - delivered.length, delivered))
            offset + text.length
        }
        val last = end("abcdefgh")
        expectThat(assembler.take(last)).isEqualTo(AssemblyStep.Complete(8, last.digest))
    }
}
