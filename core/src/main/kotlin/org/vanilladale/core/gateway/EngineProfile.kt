package org.vanilladale.core.gateway

/**
 * Cost model of a model engine, from the configuration.
 *
 * @property slots requests that one engine runs at a time
 * @property stride token steps of one pass
 * @property stepMilliseconds token step without requests
 * @property requestMilliseconds growth of a step with each request that writes
 * @property readTokensPerSecond speed of reading prompts
 * @property usualPromptTokens mean prompt
 * @property usualAnswerTokens mean answer
 * @property experts experts of the model; null when its engines form no groups
 */
public data class EngineProfile(
    val slots: Int,
    val stride: Int,
    val stepMilliseconds: Double,
    val requestMilliseconds: Double,
    val readTokensPerSecond: Double,
    val usualPromptTokens: Double,
    val usualAnswerTokens: Double,
    val experts: ExpertProfile? = null,
) {
    /** Returns the duration of a pass in milliseconds with [writing] requests on each rank. */
    public fun passMilliseconds(writing: Int): Double =
        stride * (stepMilliseconds + requestMilliseconds * writing)

    /** Returns the duration of a usual request in milliseconds among [writing] requests. */
    public fun usualMilliseconds(writing: Int): Double =
        usualAnswerTokens / stride * passMilliseconds(writing) +
            usualPromptTokens / readTokensPerSecond * MILLISECONDS_PER_SECOND

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
