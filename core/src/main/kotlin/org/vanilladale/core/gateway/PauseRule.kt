package org.vanilladale.core.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Decides whether a request waits while every target of its pool asks for time.
 *
 * It waits if the first pause ends early enough for the request to be served. Otherwise it is
 * refused at once, with a time to return after that pause. These times are spread, so that the
 * callers don't come back at one moment.
 */
public object PauseRule {
    /** Time over which callers return after a pause; they come to targets that were full. */
    public const val RETURN_SPREAD_MILLISECONDS: Long = 300

    /** Returns the deadline for the wait, or the refusal of the request. */
    public fun decide(
        pauseEnd: Deadline,
        deadline: Deadline,
        now: Timestamp,
        random: Random,
    ): Either<Refusal, Deadline> {
        val longest =
            minOf(QueueingRule.MAX_WAIT_MILLISECONDS, deadline.millisecondsLeft(now) / 2)
        val waitDeadline = now.deadlineAfter(longest)
        return if (pauseEnd < waitDeadline) {
            waitDeadline.right()
        } else {
            refusal(pauseEnd, random).left()
        }
    }

    /** Returns the refusal of a request that can't wait until [pauseEnd]. */
    public fun refusal(pauseEnd: Deadline, random: Random): Refusal {
        val spread = random.nextLong(RETURN_SPREAD_MILLISECONDS + 1)
        return Refusal(
            RefusalReason.TARGET_OVERLOADED,
            detail = "all targets ask for time",
            retryAt = Deadline.fromEpochMilliseconds(pauseEnd.epochMilliseconds + spread),
        )
    }
}
