package org.vanilladale.core.stream

import java.security.MessageDigest
import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Attempt
import org.vanilladale.schema.Digest
import org.vanilladale.schema.RequestId

/**
 * Assembles the answer to one request from the frames of its attempts.
 *
 * Offsets and lengths are in UTF-16 code units. With a [resumeOffset], the attempts still produce
 * the answer from its start, so that the digest covers the whole text, but the part that the
 * caller already has is not delivered again. Not thread-safe: one coroutine owns the request.
 *
 * @param resumeOffset number of code units that the caller has from an earlier connection
 * @param maximumLength maximum length of the answer in code units
 */
public class AnswerAssembler(
    private val request: RequestId,
    private val resumeOffset: Long = 0,
    private val maximumLength: Int = DEFAULT_MAXIMUM_LENGTH,
) {
    private val text = StringBuilder()
    private val drops = IntArray(DropReason.entries.size)
    private var attempt = Attempt(0)
    private var closed = false

    init {
        require(resumeOffset >= 0) { "resumeOffset must be 0 or more; found $resumeOffset" }
    }

    /** Starts the first or another attempt. From now on frames of earlier attempts are dropped. */
    public fun startAttempt(): AttemptStart {
        attempt = Attempt(attempt.value + 1)
        return AttemptStart(attempt, text.length.toLong(), text.toString())
    }

    /** Processes a piece of the answer. */
    public fun take(frame: Answer): AssemblyStep {
        val expected = text.length.toLong()
        val drop = dropReasonOrNull(frame.request, frame.attempt) ?: when {
            frame.offset < expected -> DropReason.OFFSET_BEHIND
            frame.offset > expected -> DropReason.OFFSET_AHEAD
            else -> null
        }
        if (drop != null) return drop(drop)
        if (expected + frame.text.length > maximumLength) return damage(AnswerDamage.TOO_LONG)
        text.append(frame.text)
        val held = (resumeOffset - expected).coerceIn(0, frame.text.length.toLong())
        return AssemblyStep.Deliver(expected + held, frame.text.substring(held.toInt()))
    }

    /** Processes the end mark and compares its length and digest with the assembled text. */
    public fun take(frame: AnswerEnd): AssemblyStep {
        dropReasonOrNull(frame.request, frame.attempt)?.let { return drop(it) }
        val length = text.length.toLong()
        return when {
            // Pieces are missing. They may arrive later or be delivered by another attempt.
            frame.length > length -> drop(DropReason.END_AHEAD)
            frame.length < length -> damage(AnswerDamage.END_BEHIND)
            frame.digest != digestOf(text.toString()) -> damage(AnswerDamage.DIGEST_DIFFERS)
            resumeOffset > length -> damage(AnswerDamage.RESUME_BEYOND_END)
            else -> {
                closed = true
                AssemblyStep.Complete(length, frame.digest)
            }
        }
    }

    /** Returns the number of frames dropped for [reason]. */
    public fun dropped(reason: DropReason): Int = drops[reason.ordinal]

    private fun dropReasonOrNull(of: RequestId, by: Attempt): DropReason? = when {
        of != request -> DropReason.OTHER_REQUEST
        closed -> DropReason.CLOSED
        by < attempt -> DropReason.OLD_ATTEMPT
        by > attempt || attempt.value == 0 -> DropReason.UNSTARTED_ATTEMPT
        else -> null
    }

    private fun drop(reason: DropReason): AssemblyStep {
        drops[reason.ordinal]++
        return AssemblyStep.Dropped(reason)
    }

    private fun damage(damage: AnswerDamage): AssemblyStep {
        closed = true
        return AssemblyStep.Damaged(damage)
    }

    public companion object {
        /** Default maximum length of an answer in UTF-16 code units. */
        public const val DEFAULT_MAXIMUM_LENGTH: Int = 1_048_576

        /** Returns the SHA-256 digest of [text] in UTF-8. */
        public fun digestOf(text: String): Digest = Digest.parse(
            hexadecimalOf(MessageDigest.getInstance("SHA-256").digest(text.toByteArray())),
        )
    }
}
