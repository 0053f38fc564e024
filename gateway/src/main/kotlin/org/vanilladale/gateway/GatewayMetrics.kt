package org.vanilladale.gateway

import io.prometheus.metrics.core.metrics.Histogram
import org.vanilladale.runtime.SystemCounters

/** Latency histograms and counters of one gateway. */
internal class GatewayMetrics(val counters: SystemCounters) {
    private val answers =
        histogram("vanilladale_answer_seconds", "Arrival to the end of the answer")
    private val firstEvents =
        histogram("vanilladale_first_event_seconds", "Arrival to the first event of a stream")
    private val gaps = histogram("vanilladale_event_gap_seconds", "Pause between two events")
    private val waits = histogram("vanilladale_place_wait_seconds", "Wait for a place at a target")

    fun answered(milliseconds: Long) = answers.observe(milliseconds / MILLISECONDS)

    fun firstEvent(milliseconds: Long) = firstEvents.observe(milliseconds / MILLISECONDS)

    fun gap(milliseconds: Long) = gaps.observe(milliseconds / MILLISECONDS)

    fun waited(milliseconds: Long) = waits.observe(milliseconds / MILLISECONDS)

    private fun histogram(name: String, help: String): Histogram = counters.register(
        Histogram.builder().name(name).help(help).classicOnly().classicExponentialUpperBounds(
            LEAST_SECONDS,
            FACTOR,
            BUCKETS,
        ),
    )

    private companion object {
        const val MILLISECONDS = 1_000.0

        /** From 15 ms, with bounds near both users' goals: 0.12 s pauses, 0.5 s first events. */
        const val LEAST_SECONDS = 0.015
        const val FACTOR = 1.42
        const val BUCKETS = 18
    }
}
