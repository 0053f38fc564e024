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

    /**
     * Expects [what] from the target within [milliseconds] from now on, and at least
     * [LEAST_MILLISECONDS].
     */
    fun expect(what: String, milliseconds: Long) {
        val now = clock()
        val limitMilliseconds = milliseconds.coerceAtLeast(LEAST_MILLISECONDS)
        val deadline = now.deadlineAfter(limitMilliseconds)
        watch(Expectation(what, now, limitMilliseconds, deadline))
    }

    /** Expects nothing while [write] runs, because then it is the caller that is waited for. */
    suspend fun pauseWhile(write: suspend () -> Unit) {
        val interrupted = expected
        val pausedAt = clock()
        expected = null
        write()
        if (interrupted == null) return
        val now = clock()
        val pausedMilliseconds = now.millisecondsSince(pausedAt)
        val leftMilliseconds = interrupted.deadline.millisecondsLeft(now) + pausedMilliseconds
        watch(
            Expectation(
                interrupted.what,
                interrupted.since,
                interrupted.limitMilliseconds,
                now.deadlineAfter(leftMilliseconds),
            ),
        )
    }

    private fun watch(expectation: Expectation) {
        expected = expectation
        if (wakesAt?.let { it <= expectation.deadline } == true) return
        job?.cancel()
        wakesAt = expectation.deadline
        job = scope.launch { run() }
    }

    /** Ends the watch. Nothing more is expected of the target. */
    fun close() {
        expected = null
        job?.cancel()
    }

    private suspend fun run() {
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

    private companion object {
        /** A request has a few milliseconds left when the head of its answer comes late. */
        const val LEAST_MILLISECONDS = 50L
    }
}
