package org.vanilladale.core.routing

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Marks a target as slow in [view] while its smoothed service time exceeds [factor] times the
 * median of its peers. Not thread-safe: callers hold the lock of the view.
 *
 * A mark expires, so that the target gets requests again and reports new samples. It is cleared
 * earlier if the service time falls well below the limit, for example after the first requests to
 * a restarted target. An unchanged service time doesn't renew a mark, because it contains no new
 * sample.
 */
public class SlowTargets(
    private val view: TargetLoadView,
    private val factor: Double = DEFAULT_FACTOR,
    private val markMilliseconds: Long = DEFAULT_MARK_MILLISECONDS,
) {
    private val serviceTimeAtMark = HashMap<TargetId, Long>()
    private val markedUntil = HashMap<TargetId, Deadline>()

    /** Evaluates a report that [view] has already stored. [peers] is the subset of the entry. */
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

    /** Clears the mark unless it has been replaced by one that was set for another reason. */
    private fun clearMark(target: TargetId) {
        markedUntil.remove(target)?.let { view.clearSlow(target, it) }
    }

    public companion object {
        /** Default factor applied to the median; see docs/measurements-routing.md. */
        public const val DEFAULT_FACTOR: Double = 2.0

        /** Default duration of a mark. */
        public const val DEFAULT_MARK_MILLISECONDS: Long = 10_000

        private const val MIN_REPORTS = 3

        /**
         * Fraction of the limit at which a mark is cleared. The distance prevents a target near
         * the limit from being marked again immediately.
         */
        private const val CLEAR_RATIO = 0.75
    }
}
