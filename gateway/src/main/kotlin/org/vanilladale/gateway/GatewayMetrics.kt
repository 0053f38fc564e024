package org.vanilladale.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import org.vanilladale.core.gateway.PriorityMix
import org.vanilladale.runtime.SystemCounters

/** Latency histograms and counters of one gateway. */
internal class GatewayMetrics(val counters: SystemCounters) {
    private val answers =
        histogram("vanilladale_answer_seconds", "Arrival to the end of the answer")
    private val firstEvents =
        histogram("vanilladale_first_event_seconds", "Arrival to the first event of a stream")
    private val gaps = histogram("vanilladale_event_gap_seconds", "Pause between two events")
    private val waits = histogram("vanilladale_place_wait_seconds", "Wait for a place at a target")
    private val priorityWaits = counters.register(
        histogramBuilder("vanilladale_priority_wait_seconds", "Wait for a place, by priority")
            .labelNames("priority"),
    )
    private val noSlots = counters.register(
        Counter.builder().name("vanilladale_priority_refusals")
            .help("Requests that got no place, by priority").labelNames("priority"),
    )
    private val storePauses =
        histogram("vanilladale_store_pause_seconds", "Pause between two answers of the store")

    fun recordAnswer(milliseconds: Long) = answers.observe(milliseconds / MILLISECONDS_PER_SECOND)

    fun recordFirstEvent(milliseconds: Long) =
        firstEvents.observe(milliseconds / MILLISECONDS_PER_SECOND)

    fun recordGap(milliseconds: Long) = gaps.observe(milliseconds / MILLISECONDS_PER_SECOND)

    fun recordWait(milliseconds: Long) = waits.observe(milliseconds / MILLISECONDS_PER_SECOND)

    /** Records the wait of a request of [priority] that got a slot. */
    fun recordWait(milliseconds: Long, priority: Int) {
        recordWait(milliseconds)
        priorityWaits.labelValues(PriorityMix.levelOf(priority).toString())
            .observe(milliseconds / MILLISECONDS_PER_SECOND)
    }

    /** Counts a request of [priority] that got no slot. */
    fun recordNoSlot(priority: Int) =
        noSlots.labelValues(PriorityMix.levelOf(priority).toString()).inc()

    fun recordStorePause(milliseconds: Long) =
        storePauses.observe(milliseconds / MILLISECONDS_PER_SECOND)

    private fun histogram(name: String, help: String): Histogram =
        counters.register(histogramBuilder(name, help))

    private fun histogramBuilder(name: String, help: String): Histogram.Builder =
        Histogram.builder().name(name).help(help).classicOnly().classicExponentialUpperBounds(
            FIRST_BOUND_SECONDS,
            FACTOR,
            BUCKETS,
        )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /**
         * The bounds start at 15 ms and include values near the latency goals of users: pauses of
         * 0.12 s and first events after 0.5 s.
         */
        const val FIRST_BOUND_SECONDS = 0.015
        const val FACTOR = 1.42
        const val BUCKETS = 18
    }
}
