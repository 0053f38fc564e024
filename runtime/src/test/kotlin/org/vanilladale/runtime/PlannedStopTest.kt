package org.vanilladale.runtime

import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Guards against planned stops that end while requests are in flight. */
class PlannedStopTest {
    @Test
    fun `a second call does not end the wait for requests in flight`() = runBlocking<Unit> {
        val inFlight = AtomicInteger(1)
        val announcements = AtomicInteger()
        val stop = PlannedStop(
            VmId.parse("entry-0"),
            drainMilliseconds = 60_000,
            ::systemNow,
            inFlight::get,
            { announcements.incrementAndGet() },
            noticeMilliseconds = 0,
        )
        val calls = List(2) { async(Dispatchers.Default) { stop.run() } }
        delay(WAIT_MILLISECONDS)
        expectThat(calls.any { it.isCompleted }).isFalse()
        inFlight.set(0)
        withTimeout(END_MILLISECONDS) { calls.forEach { it.await() } }
        expectThat(announcements.get()).isEqualTo(1)
    }

    @Test
    fun `a failed announcement does not end the wait for requests in flight`() = runBlocking<Unit> {
        val inFlight = AtomicInteger(1)
        val stop = PlannedStop(
            VmId.parse("entry-0"),
            drainMilliseconds = 60_000,
            ::systemNow,
            inFlight::get,
            { error("no socket") },
            noticeMilliseconds = 0,
        )
        val call = async(Dispatchers.Default) { runCatching { stop.run() } }
        delay(WAIT_MILLISECONDS)
        expectThat(call.isCompleted).isFalse()
        inFlight.set(0)
        withTimeout(END_MILLISECONDS) { call.await() }.getOrThrow()
    }

    private companion object {
        const val WAIT_MILLISECONDS = 300L
        const val END_MILLISECONDS = 10_000L
    }
}
