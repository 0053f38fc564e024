package org.vanilladale.entry

/**
 * Time limits of one attempt.
 *
 * @property firstAnswerMilliseconds maximum wait for the first part of an answer
 * @property progressMilliseconds maximum wait between two parts
 */
internal data class AttemptTiming(
    val firstAnswerMilliseconds: Long,
    val progressMilliseconds: Long,
)
