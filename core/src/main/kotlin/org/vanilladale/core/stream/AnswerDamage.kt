package org.vanilladale.core.stream

/**
 * Why an answer can't be completed by another attempt: the caller may hold wrong text already.
 *
 * @property remedy what the entry does
 */
public enum class AnswerDamage(public val code: String, public val remedy: String) {
    END_BEHIND("end-behind", "Report answer-interrupted; the caller repeats from offset 0."),
    DIGEST_DIFFERS("digest-differs", "Report answer-interrupted; the caller repeats from 0."),
    TOO_LONG("too-long", "Report answer-interrupted; raise the longest answer or ask for less."),
    RESUME_BEYOND_END(
        "resume-beyond-end",
        "Report answer-interrupted; the caller repeats from offset 0.",
    ),
}
