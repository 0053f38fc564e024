package org.vanilladale.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
class OverlappingCallsTest {
    private val calls = OverlappingCalls(mostCalls = 3, patienceMilliseconds = 100) { 50 }

    @Test
    fun `a silent call delays the next one for its patience only`() = runTest {
        var count = 0
        val answer = calls.firstAnswer { if (++count < 3) awaitCancellation() else "answer" }
        expectThat(answer).isEqualTo("answer")
        expectThat(currentTime).isEqualTo(50L + 2 * 150)
    }

    @Test
    fun `a call that fails at once is followed after the pause`() = runTest {
        var count = 0
        calls.firstAnswer { "answer".takeIf { ++count == 3 } }
        expectThat(currentTime).isEqualTo(3 * 50L)
    }

    @Test
    fun `a slow call is answered while later ones are in flight`() = runTest {
        var count = 0
        val answer = calls.firstAnswer {
            val number = ++count
            delay(400)
            number
        }
        expectThat(answer).isEqualTo(1)
        expectThat(currentTime).isEqualTo(50L + 400)
    }

    @Test
    fun `no more calls than the maximum are in flight and none is left after an answer`() =
        runTest {
            var inFlight = 0
            var most = 0
            calls.firstAnswer {
                most = maxOf(most, ++inFlight)
                try {
                    delay(1_000)
                    "answer".takeIf { currentTime > 3_000 }
                } finally {
                    inFlight--
                }
            }
            expectThat(most).isEqualTo(3)
            expectThat(inFlight).isEqualTo(0)
        }
}
