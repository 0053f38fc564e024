package org.vanilladale.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.MetricWithFixedMetadata
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.rollout.LoadCommandKind
import org.vanilladale.core.rollout.LoadFailure
import org.vanilladale.core.rollout.LoadRefusal

/** Counters of one process, in a registry of their own. */
public class SystemCounters {
    private val registry = PrometheusRegistry()
    private val refusals = labelled("vanilladale_refusals", "Refused requests", "reason")
    private val retries = labelled("vanilladale_retries", "Attempts at another target", "reason")
    private val events = labelled("vanilladale_events", "Events inside the system", "event")
    private val answers = labelled("vanilladale_answers", "Whole answers", "kind")
    private val loads = labelled("vanilladale_loads", "Completed engine loads", "command")
    private val loadRetries =
        labelled("vanilladale_load_retries", "Engine loads that failed", "reason")
    private val loadRefusals =
        labelled("vanilladale_load_refusals", "Engine commands that were not run", "reason")
    private val gauges = Gauge.builder()
        .name("vanilladale_state")
        .help("State of this process")
        .labelNames("name")
        .register(registry)

    init {
        // Series exist from the start, so that a rate over the first occurrence is right.
        RefusalReason.entries.forEach { refusals.initLabelValues(it.code) }
        RetryReason.entries.forEach { retries.initLabelValues(it.code) }
        LoadCommandKind.entries.forEach { loads.initLabelValues(it.code) }
        LoadFailure.entries.forEach { loadRetries.initLabelValues(it.code) }
        LoadRefusal.entries.forEach { loadRefusals.initLabelValues(it.code) }
    }

    /** Counts a refusal. */
    public fun refused(reason: RefusalReason) {
        refusals.labelValues(reason.code).inc()
    }

    /** Counts an attempt at another target. */
    public fun retried(reason: RetryReason) {
        retries.labelValues(reason.code).inc()
    }

    /** Counts an event such as a dropped frame or a closed connection. */
    public fun event(code: String) {
        events.labelValues(code).inc()
    }

    /** Counts a whole answer to a request of [kind]. */
    public fun answered(kind: String) {
        answers.labelValues(kind).inc()
    }

    /** Counts a command that the engine carried out. */
    public fun loaded(kind: LoadCommandKind) {
        loads.labelValues(kind.code).inc()
    }

    /** Counts a load that failed and is tried again. */
    public fun loadRetried(reason: LoadFailure) {
        loadRetries.labelValues(reason.code).inc()
    }

    /** Counts a command that was not run. */
    public fun loadRefused(reason: LoadRefusal) {
        loadRefusals.labelValues(reason.code).inc()
    }

    /** Sets the state value [name]. */
    public fun state(name: String, value: Double) {
        gauges.labelValues(name).set(value)
    }

    /** Builds [builder] into the registry of this process. */
    public fun <B : MetricWithFixedMetadata.Builder<B, M>, M : MetricWithFixedMetadata> register(
        builder: MetricWithFixedMetadata.Builder<B, M>,
    ): M = builder.register(registry)

    /** Returns all series in the Prometheus text format. */
    public fun scrape(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private fun labelled(name: String, help: String, label: String): Counter =
        Counter.builder().name(name).help(help).labelNames(label).register(registry)
}
