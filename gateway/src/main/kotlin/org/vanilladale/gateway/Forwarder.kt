package org.vanilladale.gateway

import arrow.core.getOrElse
import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.retry.AttemptEnd
import org.vanilladale.core.retry.FailedRequest
import org.vanilladale.core.retry.ResendDecision
import org.vanilladale.schema.RunState
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Sends a request to one target after the other until the caller has an answer or a refusal. */
internal class Forwarder(
    private val dispatcher: PoolDispatcher,
    private val attempts: AttemptRunner,
    private val budget: FleetRetryBudget,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
) {
    private class Course(val request: ForwardedRequest) {
        val tried = HashSet<TargetId>()
        val progress = if (request.route.repeat.isStream) {
            StreamProgress(request.head.resumeAfter)
        } else {
            null
        }
        var sends = 0
        var runs = 0
        var answer: BufferedAnswer? = null

        /** True while a further attempt could follow the next one. */
        val mayRepeat: Boolean
            get() = request.route.repeat.mayRunAgain &&
                runs + 1 < request.route.maximumAttempts && sends + 1 < ResendDecision.MAXIMUM_SENDS
    }

    /** Returns null when the caller has its answer, else the refusal that it is to get. */
    suspend fun run(request: ForwardedRequest, answer: CallerAnswer): Refusal? {
        val course = Course(request)
        budget.requested(request.pool.name)
        while (true) {
            val waitedFrom = clock()
            val place = dispatcher.acquire(request, course.tried, answer.started)
                .getOrElse { return conclude(course, it, answer) }
            val waited = clock().millisecondsSince(waitedFrom)
            metrics.waited(waited)
            logPlaced(course, place, waited)
            val failed = attempt(course, place, answer) ?: return null
            val refusal = decide(course, failed)
            if (refusal != null) return conclude(course, refusal, answer)
        }
    }

    /** Runs one attempt; returns null when the answer was delivered. */
    private suspend fun attempt(
        course: Course,
        place: Slot,
        answer: CallerAnswer,
    ): AttemptResult.Failed? {
        val request = course.request
        val target = place.target
        val startedAt = clock()
        val result = try {
            attempts.run(request, target, course.mayRepeat, course.progress, answer)
        } finally {
            dispatcher.release(request.pool.name, target.id, startedAt)
        }
        course.sends++
        course.tried += target.id
        return when (result) {
            is AttemptResult.Delivered -> {
                dispatcher.observe(request.pool.name) { succeeded(target.id) }
                logAnswered(course, target.id, result.status)
                null
            }

            is AttemptResult.Failed -> {
                if (!result.end.provenNotRun) course.runs++
                if (result.answer != null) course.answer = result.answer
                dispatcher.observe(request.pool.name) { now -> note(result.end, target.id, now) }
                log.log(
                    GatewayEvent.AttemptFailed(
                        request.head.request.text,
                        target.id.text,
                        result.end.name.lowercase(),
                        result.detail,
                        clock().millisecondsSince(startedAt),
                        course.progress?.lastEvent,
                    ),
                )
                result
            }
        }
    }

    private fun TargetOutcomes.note(end: AttemptEnd, target: TargetId, now: Timestamp) {
        when (end) {
            AttemptEnd.NOT_SENT, AttemptEnd.WRONG_TARGET -> unreachable(target, now)

            AttemptEnd.SILENT, AttemptEnd.REJECTED, AttemptEnd.FAILED, AttemptEnd.BROKEN ->
                failed(target, now)
        }
    }

    /** Returns null when another attempt is to follow. */
    private fun decide(course: Course, failed: AttemptResult.Failed): Refusal? {
        val request = course.request
        val state = FailedRequest(
            request.route.repeat,
            failed.end,
            course.runs,
            course.sends,
            request.route.maximumAttempts,
            request.deadline,
        )
        return ResendDecision.decide(state, clock()) { budget.tryTake(request.pool.name) }.fold(
            { it },
            { reason ->
                metrics.counters.retried(reason)
                log.log(GatewayEvent.Resent(request.head.request.text, reason.code))
                null
            },
        )
    }

    /** Ends a request without another attempt; a failure that a target answered with goes first. */
    private suspend fun conclude(course: Course, refusal: Refusal, answer: CallerAnswer): Refusal? {
        val held = course.answer
        if (held != null && !answer.started) {
            answer.write(held.status, held.headers, held.body)
            logAnswered(course, null, held.status)
            return null
        }
        return when {
            answer.started -> refusal.copy(
                reason = RefusalReason.ANSWER_INTERRUPTED,
                run = RunState.UNKNOWN,
                detail = "${refusal.reason.code}: ${refusal.detail.orEmpty()}",
            )

            course.runs > 0 -> refusal.copy(run = RunState.UNKNOWN)

            else -> refusal
        }
    }

    private fun logPlaced(course: Course, place: Slot, waited: Long) {
        val request = course.request
        log.log(
            GatewayEvent.Placed(
                request.head.request.text,
                place.target.id.text,
                course.sends + 1,
                waited,
                place.running,
                request.deadline.millisecondsLeft(clock()),
                request.tablesRevision.value,
            ),
        )
    }

    private fun logAnswered(course: Course, target: TargetId?, status: Int) {
        val request = course.request
        val took = clock().millisecondsSince(request.arrivedAt)
        val first = course.progress?.firstEventAt?.millisecondsSince(request.arrivedAt)
        metrics.answered(took)
        first?.let(metrics::firstEvent)
        metrics.counters.answered(request.route.name.text)
        log.log(
            GatewayEvent.Answered(
                request.head.request.text,
                request.route.name.text,
                target?.text ?: "-",
                status,
                course.sends,
                took,
                first,
                course.progress?.longestGapMilliseconds,
            ),
        )
    }
}
