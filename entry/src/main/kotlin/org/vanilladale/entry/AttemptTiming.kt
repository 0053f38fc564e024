package org.vanilladale.entry

/**
 * Limits of one attempt in milliseconds.
 *
 * @property firstAnswerMilliseconds longest wait for the first piece of an answer
 * @property progressMilliseconds longest wait between two pieces
 */
internal data class AttemptTiming(
    val firstAnswerMilliseconds: Long,
    val progressMilliseconds: Long,
)
