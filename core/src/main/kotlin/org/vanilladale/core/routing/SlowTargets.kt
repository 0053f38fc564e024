package org.vanilladale.core.routing

import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Marks a target as slow in [view] while its smoothed service time exceeds [factor] times the
 * median of its peers. Keep it under the lock of the view.
 *
 * A mark ends by time, so that the target gets requests and with them new samples. The same service
 * time is not taken twice: without a new sample since the mark it says nothing new.
 */
public class SlowTargets(
    private val view: TargetLoadView,
    private val factor: Double = DEFAULT_FACTOR,
    private val markMilliseconds: Long = DEFAULT_MARK_MILLISECONDS,
) {
    private val serviceAtMark = HashMap<TargetId, Long>()

    /** Takes a report that [view] has taken already; [peers] is the subset of the entry. */
    public fun reported(target: TargetId, load: Load, peers: List<TargetId>, now: Timestamp) {
        val services = peers.mapNotNull { view.reportOrNull(it, now)?.serviceMicroseconds }
            .filter { it > 0 }
            .sorted()
        if (services.size < LEAST_REPORTS) return
        val service = load.serviceMicroseconds
        val isSlow = service > factor * services[services.size / 2]
        if (!isSlow) {
            serviceAtMark.remove(target)
        } else if (serviceAtMark.put(target, service) != service) {
            view.markSlow(target, now.deadlineAfter(markMilliseconds))
        }
    }

    public companion object {
        /** Default factor over the median; see docs/measurements-routing.md. */
        public const val DEFAULT_FACTOR: Double = 2.0

        /** Default duration of a mark. */
        public const val DEFAULT_MARK_MILLISECONDS: Long = 10_000

        private const val LEAST_REPORTS = 3
    }
}
