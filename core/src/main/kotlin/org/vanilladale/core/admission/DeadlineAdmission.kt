package org.vanilladale.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.Timestamp

/**
 * Refuses a request at once if it is predicted to miss its deadline.
 *
 * An entry uses it with the last load that the chosen target reported, and an agent with its own
 * current [Load].
 */
public object DeadlineAdmission {
    private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

    /**
     * Admits a request with [deadline], or refuses it with `deadline-too-short`.
     *
     * An idle target admits every request whose deadline has not passed. Otherwise a high estimate
     * from a slow phase would lead to the refusal of all requests, and without new samples the
     * estimate would never decrease.
     *
     * @param load running and waiting requests, slots and smoothed service time of the target
     * @param share share of the service time that must fit before the deadline; less than 1 if a
     *   partial answer is useful
     */
    public fun admit(
        load: Load,
        deadline: Deadline,
        now: Timestamp,
        share: Double = 1.0,
    ): Either<Refusal, Unit> {
        val idle = load.running == 0 && load.waiting == 0
        val left = deadline.millisecondsLeft(now)
        val needed = if (idle) 0L else predictedMilliseconds(load, share)
        return if (left > 0 && needed <= left) {
            Unit.right()
        } else {
            Refusal(
                RefusalReason.DEADLINE_TOO_SHORT,
                detail = "needs $needed ms, has $left ms",
                retryAt = now.deadlineAfter((needed - left).coerceAtLeast(1)),
            ).left()
        }
    }

    /** Returns the predicted wait plus [share] of the service time, in milliseconds. */
    public fun predictedMilliseconds(load: Load, share: Double = 1.0): Long {
        val service = load.serviceMicroseconds / MICROSECONDS_PER_MILLISECOND
        val slots = load.slots.coerceAtLeast(1)
        val ahead = (load.running + load.waiting - slots + 1).coerceAtLeast(0)
        return (service * ahead / slots + service * share).toLong()
    }
}
