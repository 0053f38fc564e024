package org.vanilladale.bench.call

import org.junit.jupiter.api.Test
import org.vanilladale.core.stream.AnswerAssembler
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against a caller that takes a damaged or foreign answer for a whole one. */
class AnswerReassemblyTest {
    private val digest = AnswerAssembler.digestOf("zażółć gęślą").text

    private fun piece(offset: Int, text: String) = """{"offset":$offset,"text":"$text"}"""

    private fun end(length: Int, digest: String) =
        """{"end":true,"length":$length,"digest":"$digest"}"""

    @Test
    fun `lines in order with matching length and digest are a whole answer`() {
        val answer = AnswerReassembly()
        expectThat(answer.take(piece(0, "zażółć "))).isEqualTo(LineResult.Continues)
        expectThat(answer.take(piece(7, "gęślą"))).isEqualTo(LineResult.Continues)
        expectThat(answer.take(end(12, digest))).isEqualTo(LineResult.Whole)
        expectThat(answer.text).isEqualTo("zażółć gęślą")
    }

    @Test
    fun `each line that does not fit the text held is damage`() {
        val cases = listOf(
            piece(8, "gap"),
            piece(6, "overlap"),
            """{"text":"no offset"}""",
            end(11, digest),
            end(7, digest),
            """{"end":true}""",
            "{}",
            """{"offset":7,"text":"cut""",
            "not JSON",
        )
        cases.forEach { line ->
            val answer = AnswerReassembly()
            answer.take(piece(0, "zażółć "))
            expectThat(answer.take(line)).isA<LineResult.Damaged>()
            expectThat(answer.text).isEqualTo("zażółć ")
        }
    }

    @Test
    fun `a second stream continues the text of an interrupted one`() {
        val answer = AnswerReassembly()
        answer.take(piece(0, "zażółć "))
        val refusal = """{"refusal":{"reason":"answer-interrupted","run":"unknown","remedy":"r"}}"""
        expectThat(answer.take(refusal)).isA<LineResult.Refused>()
        expectThat(answer.offset).isEqualTo(7)
        answer.take(piece(7, "gęślą"))
        expectThat(answer.take(end(12, digest))).isEqualTo(LineResult.Whole)
    }

    @Test
    fun `a restarted answer begins at offset 0`() {
        val answer = AnswerReassembly()
        answer.take(piece(0, "other"))
        answer.restart()
        expectThat(answer.take(piece(0, "zażółć gęślą"))).isEqualTo(LineResult.Continues)
        expectThat(answer.take(end(12, digest))).isEqualTo(LineResult.Whole)
    }
}
