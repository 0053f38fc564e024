package org.vanilladale.core.stream

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Frame
import org.vanilladale.schema.RequestId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Guards against merging frames that aren't consecutive, and against losing frames. */
class WaitingFramesTest {
    private fun answer(offset: Long, text: String, attempt: Int = 1, request: Long = 1) =
        Answer(RequestId(request), Attempt(attempt), offset, text)

    private val end = AnswerEnd(RequestId(1), Attempt(1), 4, AnswerAssembler.digestOf("abcd"))

    private class Case(val name: String, val offered: List<Frame>, val taken: List<Frame>)

    private val cases = listOf(
        Case("none", listOf(), listOf()),
        Case("one", listOf(answer(0, "ab")), listOf(answer(0, "ab"))),
        Case(
            "continued",
            listOf(answer(0, "ab"), answer(2, "c"), answer(3, "d"), end),
            listOf(answer(0, "abcd"), end),
        ),
        Case(
            "gap",
            listOf(answer(0, "ab"), answer(3, "d")),
            listOf(answer(0, "ab"), answer(3, "d")),
        ),
        Case(
            "repeated offset",
            listOf(answer(0, "ab"), answer(0, "ab")),
            listOf(answer(0, "ab"), answer(0, "ab")),
        ),
        Case(
            "later attempt",
            listOf(answer(0, "ab"), answer(2, "c", attempt = 2)),
            listOf(answer(0, "ab"), answer(2, "c", attempt = 2)),
        ),
        Case(
            "other request",
            listOf(answer(0, "ab"), answer(2, "c", request = 2)),
            listOf(answer(0, "ab"), answer(2, "c", request = 2)),
        ),
        Case(
            "answer after the end mark",
            listOf(answer(0, "abcd"), end, answer(4, "e"), answer(5, "f")),
            listOf(answer(0, "abcd"), end, answer(4, "ef")),
        ),
        Case(
            "surrogate pair in two frames",
            listOf(answer(0, "a\uD83E"), answer(2, "\uDDE6")),
            listOf(answer(0, "a\uD83E\uDDE6")),
        ),
    )

    @Test
    fun `only consecutive pieces of an answer are merged`() {
        for (case in cases) {
            val waiting = WaitingFrames()
            case.offered.forEach { waiting.offer(it) }
            expectThat(generateSequence { waiting.pollOrNull() }.toList())
                .describedAs(case.name).isEqualTo(case.taken)
        }
    }

    /** Guards against unbounded memory use at an entry for a caller that reads nothing. */
    @Test
    fun `the length of the waiting text is limited and freed by taking frames`() {
        val waiting = WaitingFrames(maximumLength = 100)
        var offset = 0L
        while (waiting.offer(answer(offset, "1234567"))) offset += 7
        expectThat(offset).isLessThanOrEqualTo(100)
        expectThat(waiting.offer(answer(offset, "1234567"))).isFalse()
        expectThat(waiting.pollOrNull()).isEqualTo(answer(0, "1234567".repeat(14)))
        expectThat(waiting.offer(answer(offset, "x".repeat(1_000)))).isTrue()
        expectThat(waiting.offer(answer(offset + 1_000, "y"))).isFalse()
    }

    @Test
    fun `the number of frames that can't be merged is limited`() {
        val waiting = WaitingFrames()
        expectThat((1..10_000).count { waiting.offer(answer(0, "a")) }).isEqualTo(4096)
    }
}
