package org.vanilladale.core.stream

import arrow.core.getOrElse
import java.time.Duration
import kotlin.random.Random
import org.junit.jupiter.api.Assertions.assertTimeoutPreemptively
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class EventSplitterTest {
    private val events = listOf(
        "id: 1\ndata: a\n\n",
        "weight-versions: 3\nid: 2\ndata: b\ndata: c\n\n",
        "data: no id\n\n",
        "id: 4\r\ndata: d\r\n\r\n",
    )

    @Test
    fun `the events are independent of the chunks`() {
        val body = events.joinToString("").encodeToByteArray()
        for (seed in 1..200) {
            val random = Random(seed)
            val splitter = EventSplitter()
            val found = ArrayList<StreamEvent>()
            var start = 0
            while (start < body.size) {
                val end = (start + 1 + random.nextInt(12)).coerceAtMost(body.size)
                found += splitter.feedWhole(body.copyOfRange(start, end))
                start = end
            }
            expectThat(found.map { it.bytes.decodeToString() }).isEqualTo(events)
            expectThat(found.map { it.id }).isEqualTo(listOf(1L, 2L, null, 4L))
            expectThat(splitter.hasPartialEvent).isEqualTo(false)
        }
    }

    @Test
    fun `an incomplete event is not returned`() {
        val splitter = EventSplitter()
        val found = splitter.feedWhole("id: 1\ndata: a\n\nid: 2\ndata: ha".encodeToByteArray())
        expectThat(found.map { it.id }).isEqualTo(listOf<Long?>(1))
        expectThat(splitter.hasPartialEvent).isEqualTo(true)
    }

    @Test
    fun `an event without an end is given up at the limit`() {
        val splitter = EventSplitter()
        val part = ByteArray(4 shl 10) { 'x'.code.toByte() }
        var fed = 0
        while (splitter.feed(part).isRight()) {
            fed += part.size
            expectThat(fed).isLessThanOrEqualTo(EventSplitter.DEFAULT_MAX_EVENT_BYTES)
        }
        expectThat(fed + part.size).isGreaterThan(EventSplitter.DEFAULT_MAX_EVENT_BYTES)
    }

    @Test
    fun `the time for an event grows with its length and not with the square of it`() {
        // Copying all pending bytes with each part took 24 s for this event on a small VM.
        val part = ByteArray(4 shl 10) { 'x'.code.toByte() }
        assertTimeoutPreemptively(Duration.ofSeconds(5)) {
            val splitter = EventSplitter(maxEventBytes = 64 shl 20)
            repeat(16_000) { splitter.feedWhole(part) }
            val end = "\n\n".encodeToByteArray()
            val event = splitter.feedWhole(end).single()
            expectThat(event.bytes.size).isEqualTo(16_000 * part.size + end.size)
        }
    }

    @Test
    fun `comments are told apart from data and keep their place`() {
        val body = ": still here\n\n\n\nid: 7\ndata: a\n\nretry: 5\n\n"
        val found = EventSplitter().feedWhole(body.encodeToByteArray())
        expectThat(found.map { it.isComment }).isEqualTo(listOf(true, false, true))
        expectThat(found.map { it.bytes.decodeToString() })
            .isEqualTo(listOf(": still here\n\n\n\n", "id: 7\ndata: a\n\n", "retry: 5\n\n"))
    }

    @Test
    fun `comments are returned as they arrive and an event after them in any chunks`() {
        val body = (": c\r\n\r\n\n" + events.joinToString("\n: d\n\n") + ": e\n\n")
        for (seed in 1..200) {
            val random = Random(seed)
            val splitter = EventSplitter()
            val found = ArrayList<StreamEvent>()
            var rest = body.encodeToByteArray()
            while (rest.isNotEmpty()) {
                val length = (1 + random.nextInt(9)).coerceAtMost(rest.size)
                found += splitter.feedWhole(rest.copyOf(length))
                rest = rest.copyOfRange(length, rest.size)
            }
            expectThat(found.joinToString("") { it.bytes.decodeToString() }).isEqualTo(body)
            expectThat(found.filter { !it.isComment }.map { it.bytes.decodeToString() })
                .isEqualTo(events)
            expectThat(splitter.hasPartialEvent).isEqualTo(false)
        }
    }

    @Test
    fun `comments without end are few pieces and are given up at the limit`() {
        listOf("\n", "\r\n", ": x\n\n").forEach { comment ->
            val splitter = EventSplitter()
            val part = comment.repeat(4_000).encodeToByteArray()
            var fed = 0
            while (true) {
                val found = splitter.feed(part).getOrNull() ?: break
                expectThat(found.size).isEqualTo(1)
                fed += part.size
                expectThat(fed).isLessThanOrEqualTo(EventSplitter.DEFAULT_MAX_EVENT_BYTES)
            }
        }
    }

    @Test
    fun `an event ends a run of comments`() {
        val splitter = EventSplitter(maxEventBytes = 100)
        repeat(100) { splitter.feedWhole(": still here\n\ndata: a\n\n".encodeToByteArray()) }
    }

    private fun EventSplitter.feedWhole(bytes: ByteArray) =
        feed(bytes).getOrElse { error("event over ${it.limit} bytes") }
}
