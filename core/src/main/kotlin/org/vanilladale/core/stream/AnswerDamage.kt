package org.vanilladale.core.stream

/**
 * Reason why an answer can't be completed by another attempt. The caller may already have received
 * wrong text.
 *
 * @property code name of the reason in messages
 * @property remedy what the entry does and what the caller can do
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
