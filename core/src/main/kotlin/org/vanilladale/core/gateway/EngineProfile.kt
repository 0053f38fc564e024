package org.vanilladale.core.gateway

/**
 * Cost model of a model engine, from the configuration.
 *
 * @property slots requests that one engine runs at a time
 * @property stepsPerPass token steps of one pass
 * @property baseStepMilliseconds token step without requests
 * @property stepMillisecondsPerRequest growth of a step with each request that writes
 * @property prefillTokensPerSecond speed of reading prompts
 * @property meanPromptTokens mean prompt
 * @property meanAnswerTokens mean answer
 * @property experts experts of the model; null when its engines form no groups
 */
public data class EngineProfile(
    val slots: Int,
    val stepsPerPass: Int,
    val baseStepMilliseconds: Double,
    val stepMillisecondsPerRequest: Double,
    val prefillTokensPerSecond: Double,
    val meanPromptTokens: Double,
    val meanAnswerTokens: Double,
    val experts: ExpertProfile? = null,
) {
    /** Returns the duration of a pass in milliseconds with [decoding] requests on each rank. */
    public fun passMilliseconds(decoding: Int): Double =
        stepsPerPass * (baseStepMilliseconds + stepMillisecondsPerRequest * decoding)

    /** Returns the duration of a usual request in milliseconds among [decoding] requests. */
    public fun meanRequestMilliseconds(decoding: Int): Double =
        meanAnswerTokens / stepsPerPass * passMilliseconds(decoding) +
            meanPromptTokens / prefillTokensPerSecond * MILLISECONDS_PER_SECOND

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
