package org.vanilladale.gateway

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isLessThan

/** Guards against a watch that occupies its event loop. */
class SilenceWatchTest {
    @Test
    fun `a limit of zero does not occupy the event loop`() = runBlocking<Unit> {
        var reports = 0
        val watching = launch {
            val watch = SilenceWatch(this, ::now) {
                check(++reports < MAXIMUM_REPORTS) { "the watch never suspends" }
            }
            // Half of the last millisecond before the deadline of a request.
            watch.expect("no complete body", milliseconds = 0)
        }
        delay(WATCHED_MILLISECONDS)
        watching.cancelAndJoin()
        expectThat(reports).isLessThan(MAXIMUM_REPORTS)
    }

    private fun now() = Timestamp.fromEpochMilliseconds(System.currentTimeMillis())

    private companion object {
        const val WATCHED_MILLISECONDS = 50L
        const val MAXIMUM_REPORTS = 1_000
    }
}
