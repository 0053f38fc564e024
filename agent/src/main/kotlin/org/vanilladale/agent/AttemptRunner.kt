package org.vanilladale.agent

import java.security.MessageDigest
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.vanilladale.core.hash.hexadecimalOf
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.schema.Answer
import org.vanilladale.schema.AnswerEnd
import org.vanilladale.schema.Digest
import org.vanilladale.schema.Frame
import org.vanilladale.schema.Refused
import org.vanilladale.schema.RunState
import org.vanilladale.schema.Submit
import org.vanilladale.schema.Timestamp

/** Runs attempts at this agent's target and sends the answer frames. */
internal class AttemptRunner(
    private val caller: TargetCaller,
    private val slots: SlotQueue,
    private val clock: () -> Timestamp,
) {
    /** Runs [submit] to its end and passes each frame of the answer to [send]. */
    suspend fun run(id: AttemptId, submit: Submit, send: suspend (Frame) -> Unit) {
        val refusal = try {
            withTimeout(submit.deadline.millisecondsLeft(clock())) {
                slots.withSlot(queuedRequestOf(id, submit)) { callTarget(submit, send) }
                    .fold({ it }, { it })
            }
        } catch (_: TimeoutCancellationException) {
            Refusal(RefusalReason.DEADLINE_PASSED)
        }
        refusal?.let { send(refused(submit, it)) }
    }

    private suspend fun callTarget(submit: Submit, send: suspend (Frame) -> Unit): Refusal? {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(submit.delivered.toByteArray())
        var position = submit.delivered.length.toLong()
        val outcome = caller(submit, { null }) { text ->
            digest.update(text.toByteArray())
            val start = position
            position += text.length
            // A resumed stream starts over at the engine; the caller holds the first part already.
            if (position > submit.offset) {
                val skipped = (submit.offset - start).coerceAtLeast(0).toInt()
                val piece = text.drop(skipped)
                send(Answer(submit.request, submit.attempt, start + skipped, piece))
            }
        }
        if (outcome == TargetOutcome.Completed) {
            val whole = Digest.parse(hexadecimalOf(digest.digest()))
            send(AnswerEnd(submit.request, submit.attempt, position, whole, slots.load()))
        }
        return refusalOf(outcome)
    }

    private fun refusalOf(outcome: TargetOutcome): Refusal? = when (outcome) {
        TargetOutcome.Completed -> null

        is TargetOutcome.Failed -> Refusal(outcome.reason, detail = outcome.detail)

        is TargetOutcome.Broken -> Refusal(RefusalReason.TARGET_FAILED, detail = outcome.detail)

        is TargetOutcome.Withheld -> outcome.refusal

        TargetOutcome.Withdrawn -> Refusal(RefusalReason.SUSPECT_WAITING, RunState.UNKNOWN)

        is TargetOutcome.Unreachable ->
            Refusal(RefusalReason.TARGET_FAILED, RunState.NO, outcome.detail)
    }

    private fun refused(submit: Submit, refusal: Refusal) = Refused(
        submit.request,
        submit.attempt,
        refusal.reason.code,
        refusal.run,
        refusal.retryAt,
        slots.load(),
    )
}
