package org.vanilladale.entry

/**
 * Time limits after which a silent target may be replaced by another one.
 *
 * @property firstAnswerMilliseconds maximum wait for the first part of an answer
 * @property progressMilliseconds maximum wait between two parts
 */
internal data class AttemptTiming(
    val firstAnswerMilliseconds: Long,
    val progressMilliseconds: Long,
)
