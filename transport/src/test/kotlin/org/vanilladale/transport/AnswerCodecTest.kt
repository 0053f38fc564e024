package org.vanilladale.transport

import org.junit.jupiter.api.Test
import org.vanilladale.schema.Answer
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.RequestId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against answer frames that differ from what other programs read and write as CBOR. */
class AnswerCodecTest {
    private val numbers = listOf(
        0L, 23, 24, 255, 256, 65_535, 65_536, 4_294_967_295, 4_294_967_296, Long.MAX_VALUE,
    )
    private val texts = listOf("", "a", "podwiązka \uD83E\uDDE6", "x".repeat(70_000))

    private val answers = numbers.flatMap { number ->
        texts.map { text ->
            val attempt = number.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
            Answer(RequestId(number), Attempt(attempt), number, text)
        }
    }

    @Test
    fun `the bytes are those of the CBOR library`() {
        answers.forEach { answer ->
            expectThat(AnswerCodec.encodeOrNull(answer, 0)).isNotNull()
                .get { toList() }.isEqualTo(FrameCodec.encodePayload(answer).toList())
        }
    }

    @Test
    fun `an answer is read as the CBOR library reads it`() {
        answers.forEach { answer ->
            val bytes = FrameCodec.encodePayload(answer)
            expectThat(AnswerCodec.decodeOrNull(bytes, bytes.size)).isEqualTo(answer)
            expectThat(FrameCodec.decodePayload(bytes).getOrNull()).isEqualTo(answer)
        }
    }

    @Test
    fun `each cut or longer payload is left to the CBOR library`() {
        val whole = FrameCodec.encodePayload(Answer(RequestId(70_000), Attempt(300), 24, "abc"))
        whole.indices.forEach { size ->
            expectThat(AnswerCodec.decodeOrNull(whole, size)).isNull()
        }
        expectThat(AnswerCodec.decodeOrNull(whole + 0, whole.size + 1)).isNull()
    }

    @Test
    fun `a negative number takes the way of the CBOR library`() {
        val answer = Answer(RequestId(-1), Attempt(1), 0, "a")
        expectThat(AnswerCodec.encodeOrNull(answer, 0)).isNull()
        expectThat(FrameCodec.decode(FrameCodec.encode(answer)).getOrNull()).isEqualTo(answer)
    }
}
