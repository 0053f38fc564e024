package org.vanilladale.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Repeats a call until one is answered, without waiting for one that is silent before the next.
 *
 * A call that began while the other side was silent may stay without an answer after that, so a
 * caller that waits for its end would notice the return of the other side only then.
 *
 * @param mostCalls maximum number of calls in flight
 * @param patienceMilliseconds time after which a call in flight no longer delays the next one
 * @param pauseMilliseconds returns the pause before the call with the given number, from 0
 */
internal class OverlappingCalls(
    private val mostCalls: Int,
    private val patienceMilliseconds: Long,
    private val pauseMilliseconds: (Int) -> Long,
) {
    /**
     * Returns the first answer of [call], which returns null when it got none. All other calls in
     * flight are cancelled then.
     */
    suspend fun <T : Any> firstAnswer(call: suspend () -> T?): T = coroutineScope {
        val answer = CompletableDeferred<T>()
        val places = Semaphore(mostCalls)
        val calls = launch {
            var count = 0
            while (true) {
                delay(pauseMilliseconds(count++))
                places.acquire()
                val inFlight = launch {
                    try {
                        call()?.let(answer::complete)
                    } finally {
                        places.release()
                    }
                }
                withTimeoutOrNull(patienceMilliseconds) { inFlight.join() }
            }
        }
        answer.await().also { calls.cancel() }
    }
}
