package org.vanilladale.core.stream

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

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
                found += splitter.feed(body.copyOfRange(start, end))
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
        val found = splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: ha".encodeToByteArray())
        expectThat(found.map { it.id }).isEqualTo(listOf<Long?>(1))
        expectThat(splitter.hasPartialEvent).isEqualTo(true)
    }
}
