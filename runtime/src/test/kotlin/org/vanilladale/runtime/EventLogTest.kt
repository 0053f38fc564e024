package org.vanilladale.runtime

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

class EventLogTest {
    @Test
    fun `a reader that stops reading blocks nobody, and the lost lines are counted`() {
        val reading = CountDownLatch(1)
        val written = CopyOnWriteArrayList<String>()
        val told = AtomicInteger()
        val log = EventLog(
            {
                reading.await()
                written += it
            },
            { told.incrementAndGet() },
            capacity = 10,
        )
        val started = System.nanoTime()
        repeat(1_000) { log.log("line $it") }
        val milliseconds = (System.nanoTime() - started) / 1_000_000
        expectThat(milliseconds).isLessThan(1_000)
        // The writer holds one line and the queue ten.
        expectThat(log.dropped).isGreaterThanOrEqualTo(989)
        expectThat(told.get().toLong()).isEqualTo(log.dropped)
        reading.countDown()
        while (written.size < 1_000 - log.dropped) Thread.onSpinWait()
        expectThat(written.size.toLong()).isEqualTo(1_000 - log.dropped)
    }

    @Test
    fun `flush returns when all lines are written in order`() {
        repeat(200) {
            val written = CopyOnWriteArrayList<String>()
            val log = EventLog(
                {
                    Thread.sleep(1)
                    written += it
                },
                {},
            )
            val lines = List(5) { "line $it" }
            lines.forEach(log::log)
            val isFlushed = log.flush(steadyNow().deadlineAfter(10_000), ::steadyNow)
            expectThat(isFlushed).isEqualTo(true)
            expectThat(written.toList()).isEqualTo(lines)
        }
    }

    @Test
    fun `flush ends at its deadline when the reader has stopped reading`() {
        for (lines in listOf(1, 100)) {
            val never = CountDownLatch(1)
            val log = EventLog({ never.await() }, {}, capacity = 10)
            repeat(lines) { log.log("line $it") }
            val deadline = steadyNow().deadlineAfter(200)
            expectThat(log.flush(deadline, ::steadyNow)).isEqualTo(false)
            val lateMilliseconds = steadyNow().epochMilliseconds - deadline.epochMilliseconds
            expectThat(lateMilliseconds).isLessThan(1_000)
            never.countDown()
        }
    }
}
