package org.vanilladale.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Notices when the target of an attempt sends nothing for too long. Confined to the event loop of
 * [scope].
 *
 * @param onSilent called when a time limit of [expect] passes, and again each time it passes once
 *   more
 */
internal class SilenceWatch(
    private val scope: CoroutineScope,
    private val clock: () -> Timestamp,
    private val onSilent: (String) -> Unit,
) {
    private class Expectation(
        val what: String,
        val since: Timestamp,
        val limitMilliseconds: Long,
        val deadline: Deadline,
    )

    /** Null while nothing is expected of the target. */
    private var expected: Expectation? = null
    private var job: Job? = null
    private var wakesAt: Deadline? = null

    /** Expects [what] from the target within [milliseconds] from now on. */
    fun expect(what: String, milliseconds: Long) {
        val now = clock()
        val deadline = now.deadlineAfter(milliseconds)
        expected = Expectation(what, now, milliseconds, deadline)
        if (wakesAt?.let { it <= deadline } == true) return
        job?.cancel()
        wakesAt = deadline
        job = scope.launch { watch() }
    }

    /** Expects nothing, for example while the caller does not read. */
    fun pause() {
        expected = null
    }

    /** Ends the watch. */
    fun close() {
        job?.cancel()
    }

    private suspend fun watch() {
        while (true) {
            val current = expected ?: break
            wakesAt = current.deadline
            val leftMilliseconds = current.deadline.millisecondsLeft(clock())
            if (leftMilliseconds > 0) {
                delay(leftMilliseconds)
            } else {
                val deadline = clock().deadlineAfter(current.limitMilliseconds)
                expected = Expectation(
                    current.what,
                    current.since,
                    current.limitMilliseconds,
                    deadline,
                )
                onSilent("${current.what} for ${clock().millisecondsSince(current.since)} ms")
            }
        }
        wakesAt = null
    }
}
