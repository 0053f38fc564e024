package org.vanilladale.core.gateway

/**
 * Cost model of a model engine, read from the configuration.
 *
 * @property slots number of requests that one engine runs at a time
 * @property stepsPerPass number of decoding steps in one pass
 * @property baseStepMilliseconds duration of a decoding step without requests
 * @property stepMillisecondsPerRequest time that each decoding request adds to a step
 * @property prefillTokensPerSecond number of prompt tokens that an engine processes per second
 * @property meanPromptTokens mean length of a prompt in tokens
 * @property meanAnswerTokens mean length of an answer in tokens
 * @property experts experts of the model; null if its engines do not form groups
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
    /**
     * Returns the duration of a pass in milliseconds while each rank decodes [decoding] requests
     * and its experts are evenly loaded.
     */
    public fun passMilliseconds(decoding: Double): Double =
        stepsPerPass * (baseStepMilliseconds + stepMillisecondsPerRequest * decoding)

    /**
     * Returns the duration in milliseconds of a request of mean length while each rank decodes
     * [decoding] requests.
     */
    public fun meanRequestMilliseconds(decoding: Int): Double =
        meanAnswerTokens / stepsPerPass * passMilliseconds(decoding.toDouble()) +
            meanPromptTokens / prefillTokensPerSecond * MILLISECONDS_PER_SECOND

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
