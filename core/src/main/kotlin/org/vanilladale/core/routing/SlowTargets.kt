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
    private val serviceAtMark = HashMap<TargetId, Long>()
    private val markedUntil = HashMap<TargetId, Deadline>()

    /** Takes a report that [view] has taken already; [peers] is the subset of the entry. */
    public fun reported(target: TargetId, load: Load, peers: List<TargetId>, now: Timestamp) {
        val services = peers.mapNotNull { view.reportOrNull(it, now)?.serviceMicroseconds }
            .filter { it > 0 }
            .sorted()
        if (services.size < LEAST_REPORTS) return
        val service = load.serviceMicroseconds
        val limit = factor * services[services.size / 2]
        if (service <= limit) {
            serviceAtMark.remove(target)
            if (service <= END_SHARE * limit) end(target)
        } else if (serviceAtMark.put(target, service) != service) {
            val until = now.deadlineAfter(markMilliseconds)
            markedUntil[target] = until
            view.markSlow(target, until)
        }
    }

    /** A mark that was set for another reason stays. */
    private fun end(target: TargetId) {
        markedUntil.remove(target)?.let { view.endSlow(target, it) }
    }

    public companion object {
        /** Default factor over the median; see docs/measurements-routing.md. */
        public const val DEFAULT_FACTOR: Double = 2.0

        /** Default duration of a mark. */
        public const val DEFAULT_MARK_MILLISECONDS: Long = 10_000

        private const val LEAST_REPORTS = 3

        /** The distance to the limit keeps a target near it from being marked again at once. */
        private const val END_SHARE = 0.75
    }
}
