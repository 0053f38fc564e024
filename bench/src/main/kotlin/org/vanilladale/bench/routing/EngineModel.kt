package org.vanilladale.bench.routing

/**
 * Figures of the served model: continuous batching with chunked prefill. They are assumptions, not
 * measurements of an engine; a step gets longer with each running request and prefill token.
 */
internal object EngineModel {
    const val SLOTS = 8
    const val QUEUE = 32
    const val CACHED_PREFIXES = 20
    const val PREFIX_TOKENS = 1_200
    const val OWN_TOKENS = 300
    const val PREFILL_TOKENS_PER_STEP = 128
    private const val STEP_MICROSECONDS = 15_000L
    private const val RUNNING_MICROSECONDS = 1_000L
    private const val PREFILL_TOKEN_MICROSECONDS = 100L
    private const val MEAN_OUTPUT_TOKENS = 60
    private const val MICROSECONDS_PER_SECOND = 1e6

    fun stepMicroseconds(running: Int, prefillTokens: Int): Long = STEP_MICROSECONDS +
        RUNNING_MICROSECONDS * running + PREFILL_TOKEN_MICROSECONDS * prefillTokens

    /** Requests a second at full batches and a cache hit share of one half. */
    fun capacityPerSecond(targets: Int): Double {
        val decode = MEAN_OUTPUT_TOKENS * stepMicroseconds(SLOTS, 0) / SLOTS
        val prefill = PREFILL_TOKEN_MICROSECONDS * (OWN_TOKENS + PREFIX_TOKENS / 2)
        return targets * MICROSECONDS_PER_SECOND / (decode + prefill)
    }
}
