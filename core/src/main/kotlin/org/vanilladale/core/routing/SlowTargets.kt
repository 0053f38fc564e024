package org.vanilladale.core.routing

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Marks a target as slow in [view] while its smoothed service time exceeds [factor] times the
 * median of its peers. Keep it under the lock of the view.
 *
 * A mark ends by time, so that the target gets requests and with them new samples. It ends earlier
 * when the service time is back well under the limit, as after the first requests of a restarted
 * target. The same service time is not taken twice: without a new sample it says nothing new.
 */
public class SlowTargets(
    private val view: TargetLoadView,
    private val factor: Double = DEFAULT_FACTOR,
    private val markMilliseconds: Long = DEFAULT_MARK_MILLISECONDS,
) {
    private val serviceTimeAtMark = HashMap<TargetId, Long>()
    private val markedUntil = HashMap<TargetId, Deadline>()

    /** Takes a report that [view] has taken already; [peers] is the subset of the entry. */
    public fun reported(target: TargetId, load: Load, peers: List<TargetId>, now: Timestamp) {
        val serviceTimes = peers.mapNotNull { view.reportOrNull(it, now)?.serviceMicroseconds }
            .filter { it > 0 }
            .sorted()
        if (serviceTimes.size < MIN_REPORTS) return
        val serviceTime = load.serviceMicroseconds
        val limit = factor * serviceTimes[serviceTimes.size / 2]
        if (serviceTime <= limit) {
            serviceTimeAtMark.remove(target)
            if (serviceTime <= CLEAR_RATIO * limit) clearMark(target)
        } else if (serviceTimeAtMark.put(target, serviceTime) != serviceTime) {
            val until = now.deadlineAfter(markMilliseconds)
            markedUntil[target] = until
            view.markSlow(target, until)
        }
    }

    /** A mark that was set for another reason stays. */
    private fun clearMark(target: TargetId) {
        markedUntil.remove(target)?.let { view.clearSlow(target, it) }
    }

    public companion object {
        /** Default factor over the median; see docs/measurements-routing.md. */
        public const val DEFAULT_FACTOR: Double = 2.0

        /** Default duration of a mark. */
        public const val DEFAULT_MARK_MILLISECONDS: Long = 10_000

        private const val MIN_REPORTS = 3

        /** The distance to the limit keeps a target near it from being marked again at once. */
        private const val CLEAR_RATIO = 0.75
    }
}
