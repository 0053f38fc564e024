package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.retry.AttemptEnd
import org.vanilladale.core.retry.FailedRequest
import org.vanilladale.core.retry.ResendDecision
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId

/**
 * Forwards one request. Confined to the event loop of [scope].
 *
 * A failed attempt is followed by another one if the request allows it. A target that is only
 * silent may go on, so its attempt continues while another target is sought and until one of the
 * two has something for the caller.
 */
internal class Forwarding(
    private val shared: ForwarderDependencies,
    private val runner: AttemptRunner,
    private val request: ForwardedRequest,
    private val answer: CallerAnswer,
    private val scope: CoroutineScope,
) {
    /** An attempt that waits for a place or, with a [slot], runs at a target. */
    private class Attempt(val isAdditional: Boolean) {
        lateinit var job: Job
        var slot: Slot? = null
        var isSilent = false

        /** Whether the silence counts as a failure of the target. */
        var isFailureCounted = false
    }

    private sealed interface Signal {
        class Silent(val attempt: Attempt) : Signal

        class Ended(val attempt: Attempt, val end: Either<Refusal, AttemptResult>) : Signal
    }

    private val reports = ForwardingReports(shared, request)
    private val signals = Channel<Signal>(Channel.UNLIMITED)

    /** Attempts in progress in the order of their start. */
    private val current = ArrayList<Attempt>()
    private val tried = HashSet<TargetId>()

    /** Number of ended attempts that may have run. */
    private var possibleRuns = 0
    private var errorAnswer: BufferedAnswer? = null

    private val running: Int get() = current.count { it.slot != null }

    /** Whether another attempt may be begun beside those in progress. */
    private val mayRepeat: Boolean
        get() = request.route.repeat.mayRunAgain &&
            possibleRuns + running < request.route.maximumAttempts &&
            request.attempts < ResendDecision.MAXIMUM_SENDS

    /**
     * Whether the request ends if no further attempt is made. An error answer is passed on at once,
     * because its caller may repeat the request, whereas a silent target may be dead.
     */
    private val isOver: Boolean
        get() = current.isEmpty() || (errorAnswer != null && !answer.isStarted)

    /** Returns null when the caller has received an answer, or else the refusal to send. */
    suspend fun run(): Refusal? {
        begin(isAdditional = false)
        for (signal in signals) {
            when (signal) {
                is Signal.Silent -> seekSubstitute(signal.attempt)

                is Signal.Ended -> {
                    // A superseded attempt may have ended before it was cancelled.
                    if (!current.remove(signal.attempt)) continue
                    val refusal = signal.end.fold({ it }) { result ->
                        when (result) {
                            is AttemptResult.Delivered -> return null
                            is AttemptResult.Failed -> followOrNull(result)
                        }
                    }
                    if (refusal != null && isOver) return finish(refusal)
                }
            }
        }
        error("The signals of a request never end")
    }

    private fun begin(isAdditional: Boolean) {
        val attempt = Attempt(isAdditional)
        current += attempt
        attempt.job = scope.launch {
            val end = runAttempt(attempt)
            signals.trySend(Signal.Ended(attempt, end))
        }
    }

    /** Begins another attempt beside the silent [attempt], unless one is in progress. */
    private fun seekSubstitute(attempt: Attempt) {
        val isNeeded = current.lastOrNull() === attempt && attempt.isSilent
        if (isNeeded && mayRepeat && shared.budget.mayTake(request.pool.name)) {
            begin(isAdditional = true)
        }
    }

    /** Begins another attempt after a failed one, or returns why none follows. */
    private fun followOrNull(failed: AttemptResult.Failed): Refusal? {
        if (failed.answer != null) errorAnswer = failed.answer
        // The next attempt is in progress already.
        if (current.any { !it.isSilent }) return null
        return resendRefusalOrNull(failed.end).also { if (it == null) begin(isAdditional = false) }
    }

    private suspend fun runAttempt(attempt: Attempt): Either<Refusal, AttemptResult> = either {
        // A caller that has part of the answer has proof that the request crashes no target.
        val traits = if (answer.isStarted) emptySet() else request.traits
        shared.suspects.refusalOrNull(traits)?.let { raise(it) }
        val waitsFrom = shared.clock()
        val slot = shared.dispatcher.acquire(request, tried, answer.isStarted).onLeft {
            shared.metrics.recordNoSlot(request.priority)
        }.bind()
        val waitedMilliseconds = shared.clock().millisecondsSince(waitsFrom)
        shared.metrics.recordWait(waitedMilliseconds, request.priority)
        val trial = admitToTarget(attempt, traits).getOrElse {
            shared.dispatcher.releaseUnused(request.pool.name, slot.target.id)
            raise(it)
        }
        try {
            runAtTarget(attempt, slot, waitedMilliseconds)
        } finally {
            shared.suspects.end(trial)
        }
    }

    /** Admits an attempt that has a place. What held when it began to wait may have changed. */
    private fun admitToTarget(
        attempt: Attempt,
        traits: Set<RequestTrait>,
    ): Either<Refusal, Set<RequestTrait>> {
        // A stream that has begun is continued, because its caller can't get the rest elsewhere.
        val stopRefusal = if (answer.isStarted) null else shared.refusalOfStop(request)
        if (stopRefusal != null) return stopRefusal.left()
        return shared.suspects.begin(traits).flatMap { trial ->
            val refusal =
                if (attempt.isAdditional) resendRefusalOrNull(AttemptEnd.SILENT) else null
            if (refusal != null) shared.suspects.end(trial)
            refusal?.left() ?: trial.right()
        }
    }

    private suspend fun runAtTarget(
        attempt: Attempt,
        slot: Slot,
        waitedMilliseconds: Long,
    ): AttemptResult {
        val target = slot.target
        val startedAt = shared.clock()
        attempt.slot = slot
        tried += target.id
        request.attempts++
        request.firstSentAt = request.firstSentAt ?: startedAt
        reports.placed(slot, waitedMilliseconds)
        val coordination = AttemptCoordination(
            isAlone = { running == 1 },
            claim = { supersedeOthers(attempt) },
            onSilent = { detail ->
                // A target that is the last one allowed has until the deadline.
                val isFailure = !attempt.isFailureCounted && mayRepeat
                if (isFailure) attempt.isFailureCounted = true
                reports.silent(target.id, detail, startedAt, isFailure)
                attempt.isSilent = true
                signals.trySend(Signal.Silent(attempt))
            },
        )
        val result = try {
            runner.run(request, target, coordination, answer)
        } finally {
            attempt.slot = null
            shared.dispatcher.release(request.pool.name, target.id, startedAt)
        }
        when (result) {
            is AttemptResult.Delivered -> reports.delivered(target.id, result)

            is AttemptResult.Failed -> {
                if (!result.end.provenNotRun) possibleRuns++
                reports.failed(target.id, result, startedAt, attempt.isFailureCounted)
            }
        }
        return result
    }

    /** Ends all attempts but [winner], which has something for the caller. */
    private fun supersedeOthers(winner: Attempt) {
        winner.isSilent = false
        if (current.size > 1) end(current.filter { it !== winner }, winner.slot?.target?.id)
    }

    private fun end(attempts: List<Attempt>, winner: TargetId?) {
        current -= attempts.toSet()
        attempts.forEach { attempt ->
            val target = attempt.slot?.target?.id
            if (target != null) {
                possibleRuns++
                reports.superseded(target, winner)
            }
            attempt.job.cancel()
        }
    }

    /** Takes the retry budget for another attempt after [end], or returns why none follows. */
    private fun resendRefusalOrNull(end: AttemptEnd): Refusal? {
        val failure = FailedRequest(
            request.route.repeat,
            end,
            possibleRuns + running,
            request.attempts,
            request.route.maximumAttempts,
            request.deadline,
        )
        return ResendDecision.decide(failure, shared.clock()) {
            shared.budget.tryTake(request.pool.name)
        }.fold({ it }) { reason ->
            reports.resent(reason)
            null
        }
    }

    /**
     * Ends a request without another attempt. An error answer received from a target takes
     * precedence over [refusal].
     */
    private suspend fun finish(refusal: Refusal): Refusal? {
        val buffered = errorAnswer
        if (buffered != null && !answer.isStarted) {
            end(current.toList(), winner = null)
            answer.write(buffered.status, buffered.headers, buffered.body)
            reports.answered(null, buffered.status)
            return null
        }
        return when {
            answer.isStarted -> refusal.copy(
                reason = RefusalReason.ANSWER_INTERRUPTED,
                run = RunState.UNKNOWN,
                detail = "${refusal.reason.code}: ${refusal.detail.orEmpty()}",
            )

            possibleRuns > 0 -> refusal.copy(run = RunState.UNKNOWN)

            else -> refusal
        }
    }
}
