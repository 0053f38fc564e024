package org.vanilladale.runtime

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against heads that the HTTP codec reads in another way than the check does. */
class ResponseHeadParserTest {
    private fun isMalformed(response: String): Boolean {
        val parser = ResponseHeadParser()
        response.encodeToByteArray().forEach { parser.accept(it) }
        return parser.isMalformed
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nA: 1\r\n\r\nno field",
            "HTTP/1.1 200 OK\nA: 1\n\nno field",
            "\r\n \tHTTP/1.1 200 OK\r\nA: 1\r\n\r\nno field",
            "HTTP/1.1 200\r\n\r\nno field",
            "HTTP/1.1 \t 200 OK\r\nA: 1\r\n\r\nno field",
            "HTTP/1.1 204 a b : c\r\nA:\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\nno field",
            "HTTP/1.1 200 OK\r\nA: 1\rB C: 2\r\n\r\n",
        ],
    )
    fun `a sound head and any body are accepted`(response: String) {
        expectThat(isMalformed(response)).isFalse()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\nA : 1\n\n",
            "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nA\r\n\r\n",
            "\r\n\r\nHTTP/1.1 200 OK\r\nA : 1\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nA : 1\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA : 1\r\n\r\n",
            "HTTP/1.1 +100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA : 1\r\n\r\n",
        ],
    )
    fun `a malformed name is found wherever it stands`(response: String) {
        expectThat(isMalformed(response)).isTrue()
    }

    @Test
    fun `bytes above ASCII are no part of a name`() {
        expectThat(isMalformed("HTTP/1.1 200 OK\r\nÄ: 1\r\n\r\n")).isTrue()
    }
}
