package org.vanilladale.gateway

import org.vanilladale.schema.Timestamp

/** How long a target may stay silent before its attempt counts as failed. */
internal class AttemptTimeouts(private val clock: () -> Timestamp) {
    /** Returns the longest wait in milliseconds for the head or the first event of an answer. */
    fun firstAnswer(request: ForwardedRequest, mayRepeat: Boolean): Long = when {
        !mayRepeat -> timeLeft(request)

        request.route.repeat.isStream -> minOf(FIRST_EVENT_TIMEOUT_MILLISECONDS, timeLeft(request))

        // A second target can still answer within the goal when the first one is quick as a rule.
        else -> minOf(
            (request.route.goalMilliseconds * FIRST_ATTEMPT_SHARE_OF_GOAL).toLong(),
            timeLeft(request),
        )
    }

    /** Returns the longest wait in milliseconds for the next part of an answer. */
    fun nextPart(request: ForwardedRequest, mayRepeat: Boolean): Long =
        if (mayRepeat) minOf(EVENT_TIMEOUT_MILLISECONDS, timeLeft(request)) else timeLeft(request)

    private fun timeLeft(request: ForwardedRequest): Long =
        request.deadline.millisecondsLeft(clock()).coerceAtLeast(1)

    private companion object {
        /**
         * Callers leave a stream after two seconds without an event. Under load a first event takes
         * up to a second; another target would not be quicker then.
         */
        const val FIRST_EVENT_TIMEOUT_MILLISECONDS = 1_500L

        /** Ten passes of a busy group; another target brings the next event in half a second. */
        const val EVENT_TIMEOUT_MILLISECONDS = 1_200L

        const val FIRST_ATTEMPT_SHARE_OF_GOAL = 0.6
    }
}
