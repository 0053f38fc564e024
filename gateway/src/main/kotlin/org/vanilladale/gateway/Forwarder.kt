package org.vanilladale.gateway

import arrow.core.getOrElse
import arrow.core.left
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.retry.AttemptEnd
import org.vanilladale.core.retry.FailedRequest
import org.vanilladale.core.retry.ResendDecision
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Sends a request to targets, one after another, until the caller has an answer or a refusal.
 *
 * @param refusalOfStop returns the refusal of a request that has a place and could not be answered
 *   before the process ends, or null
 */
internal class Forwarder(
    private val dispatcher: PoolDispatcher,
    private val attempts: AttemptRunner,
    private val budget: FleetRetryBudget,
    private val suspects: CrashWatch,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val refusalOfStop: (ForwardedRequest) -> Refusal?,
) {
    private class ForwardingState(val request: ForwardedRequest) {
        val tried = HashSet<TargetId>()
        val progress get() = request.progress
        var firstSentAt: Timestamp? = null
        var sends = 0
        var possibleRuns = 0
        var answer: BufferedAnswer? = null

        /** True when another attempt may follow the next one. */
        val mayRepeat: Boolean
            get() = request.route.repeat.mayRunAgain &&
                possibleRuns + 1 < request.route.maximumAttempts &&
                sends + 1 < ResendDecision.MAXIMUM_SENDS
    }

    /** Returns null when the caller has received an answer, or else the refusal to send. */
    suspend fun run(request: ForwardedRequest, answer: CallerAnswer): Refusal? {
        val state = ForwardingState(request)
        budget.countRequest(request.pool.name)
        while (true) {
            // A caller that has part of the answer has proof that the request crashes no target.
            val traits = if (answer.isStarted) emptySet() else request.traits
            suspects.refusalOrNull(traits)?.let { return finish(state, it, answer) }
            val waitedFrom = clock()
            val slot = dispatcher.acquire(request, state.tried, answer.isStarted)
                .getOrElse {
                    metrics.recordNoSlot(request.priority)
                    return finish(state, it, answer)
                }
            val waitedMilliseconds = clock().millisecondsSince(waitedFrom)
            metrics.recordWait(waitedMilliseconds, request.priority)
            // A stop may have begun, or a target have crashed, during the wait.
            val admitted = stopRefusalOrNull(request, answer)?.left() ?: suspects.begin(traits)
            val trial = admitted.getOrElse {
                dispatcher.release(request.pool.name, slot.target.id, clock())
                return finish(state, it, answer)
            }
            logPlaced(state, slot, waitedMilliseconds)
            val failed = try {
                attempt(state, slot, answer) ?: return null
            } finally {
                suspects.end(trial)
            }
            val refusal = decide(state, failed)
            if (refusal != null) return finish(state, refusal, answer)
        }
    }

    /** A stream that has begun is continued, because its caller can't get the rest elsewhere. */
    private fun stopRefusalOrNull(request: ForwardedRequest, answer: CallerAnswer): Refusal? =
        if (answer.isStarted) null else refusalOfStop(request)

    /** Runs one attempt. Returns null when the answer was delivered. */
    private suspend fun attempt(
        state: ForwardingState,
        slot: Slot,
        answer: CallerAnswer,
    ): AttemptResult.Failed? {
        val request = state.request
        val target = slot.target
        val startedAt = clock()
        val firstSentAt = state.firstSentAt ?: startedAt
        state.firstSentAt = firstSentAt
        request.attempts++
        val result = try {
            attempts.run(request, target, state.mayRepeat, state.progress, answer)
        } finally {
            dispatcher.release(request.pool.name, target.id, startedAt)
        }
        state.sends++
        state.tried += target.id
        return when (result) {
            is AttemptResult.Delivered -> {
                dispatcher.observe(request.pool.name) { recordSuccess(target.id) }
                if (result.isWholeWork(request)) {
                    dispatcher.recordAnswer(request.pool.name, firstSentAt)
                }
                suspects.recordAnswer(request)
                logAnswered(state, target.id, result.status)
                null
            }

            is AttemptResult.Failed -> {
                if (!result.end.provenNotRun) state.possibleRuns++
                if (result.isCrash) suspects.recordCrash(request)
                if (result.answer != null) state.answer = result.answer
                if (!result.isPause) {
                    dispatcher.observe(request.pool.name) { now ->
                        recordFailure(result.end, target.id, now)
                    }
                }
                log.log(
                    GatewayEvent.AttemptFailed(
                        request.head.request.text,
                        target.id.text,
                        result.end.name.lowercase(),
                        result.detail,
                        clock().millisecondsSince(startedAt),
                        state.progress?.lastEvent,
                    ),
                )
                result
            }
        }
    }

    /** False for a rejection, which takes no time, and for the rest of an interrupted stream. */
    private fun AttemptResult.Delivered.isWholeWork(request: ForwardedRequest): Boolean =
        status in SUCCESS_STATUSES && request.head.resumeAfter == null

    private fun TargetOutcomes.recordFailure(end: AttemptEnd, target: TargetId, now: Timestamp) {
        when (end) {
            AttemptEnd.NOT_SENT, AttemptEnd.WRONG_TARGET -> recordUnreachable(target, now)

            AttemptEnd.SILENT, AttemptEnd.REJECTED, AttemptEnd.FAILED, AttemptEnd.BROKEN ->
                recordFailure(target, now)
        }
    }

    /** Returns the refusal to send, or null when another attempt should follow. */
    private fun decide(state: ForwardingState, failed: AttemptResult.Failed): Refusal? {
        val request = state.request
        val failure = FailedRequest(
            request.route.repeat,
            failed.end,
            state.possibleRuns,
            state.sends,
            request.route.maximumAttempts,
            request.deadline,
        )
        return ResendDecision.decide(failure, clock()) { budget.tryTake(request.pool.name) }.fold(
            { it },
            { reason ->
                metrics.counters.retried(reason)
                log.log(GatewayEvent.Resent(request.head.request.text, reason.code))
                null
            },
        )
    }

    /**
     * Ends a request without another attempt. An error answer received from a target takes
     * precedence over [refusal].
     */
    private suspend fun finish(
        state: ForwardingState,
        refusal: Refusal,
        answer: CallerAnswer,
    ): Refusal? {
        val buffered = state.answer
        if (buffered != null && !answer.isStarted) {
            answer.write(buffered.status, buffered.headers, buffered.body)
            logAnswered(state, null, buffered.status)
            return null
        }
        return when {
            answer.isStarted -> refusal.copy(
                reason = RefusalReason.ANSWER_INTERRUPTED,
                run = RunState.UNKNOWN,
                detail = "${refusal.reason.code}: ${refusal.detail.orEmpty()}",
            )

            state.possibleRuns > 0 -> refusal.copy(run = RunState.UNKNOWN)

            else -> refusal
        }
    }

    private fun logPlaced(state: ForwardingState, slot: Slot, waitedMilliseconds: Long) {
        val request = state.request
        log.log(
            GatewayEvent.Placed(
                request.head.request.text,
                slot.target.id.text,
                state.sends + 1,
                waitedMilliseconds,
                slot.running,
                request.deadline.millisecondsLeft(clock()),
                request.tablesRevision.value,
                request.priority.takeIf { request.statesPriority },
            ),
        )
    }

    private fun logAnswered(state: ForwardingState, target: TargetId?, status: Int) {
        val request = state.request
        val durationMilliseconds = clock().millisecondsSince(request.arrivedAt)
        val firstEventMilliseconds = state.progress?.firstEventAt?.millisecondsSince(
            request.arrivedAt,
        )
        metrics.recordAnswer(durationMilliseconds)
        firstEventMilliseconds?.let(metrics::recordFirstEvent)
        metrics.counters.answered(request.route.name.text)
        log.log(
            GatewayEvent.Answered(
                request.head.request.text,
                request.route.name.text,
                target?.text ?: "-",
                status,
                state.sends,
                durationMilliseconds,
                firstEventMilliseconds,
                state.progress?.longestGapMilliseconds,
            ),
        )
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}
