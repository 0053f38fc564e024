package org.vanilladale.gateway

import org.vanilladale.schema.Timestamp

/** Time limits after which a silent target may be replaced by another one. */
internal class AttemptTimeouts(private val clock: () -> Timestamp) {
    /** Returns the limit in milliseconds for the head or the first event of an answer. */
    fun firstAnswer(request: ForwardedRequest): Long = minOf(
        if (request.route.repeat.isStream) {
            FIRST_EVENT_TIMEOUT_MILLISECONDS
        } else {
            // Targets usually answer fast enough for a second attempt to finish within the goal as
            // well.
            (request.route.goalMilliseconds * FIRST_ATTEMPT_SHARE_OF_GOAL).toLong()
        },
        timeLeft(request),
    )

    /** Returns the limit in milliseconds for the next event of a stream. */
    fun nextEvent(request: ForwardedRequest): Long =
        minOf(EVENT_TIMEOUT_MILLISECONDS, timeLeft(request))

    /**
     * Returns the limit in milliseconds for the complete body of a plain answer. It holds for the
     * whole body, so that a byte now and then does not use up the time for a second attempt.
     */
    fun body(request: ForwardedRequest): Long = timeLeft(request) / 2

    /** Returns the time in milliseconds until the caller or the route gives up. */
    fun timeLeft(request: ForwardedRequest): Long =
        request.deadline.millisecondsLeft(clock()).coerceAtLeast(1)

    private companion object {
        /**
         * Callers abandon a stream after two seconds without an event. Under load a first event
         * takes up to a second, and another target would not be faster then.
         */
        const val FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_500L

        /**
         * Ten passes of a busy group. Another target delivers the next event within half a second.
         */
        const val EVENT_TIMEOUT_MILLISECONDS = 1_200L

        const val FIRST_ATTEMPT_SHARE_OF_GOAL = 0.6
    }
}
