package org.vanilladale.gateway

import org.vanilladale.core.gateway.TargetOutcomes
import org.vanilladale.core.refusal.RetryReason
import org.vanilladale.core.retry.AttemptEnd
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Logs and counts what happens to one forwarded request, and tells the dispatcher of outcomes. */
internal class ForwardingReports(
    private val shared: ForwarderDependencies,
    private val request: ForwardedRequest,
) {
    private val id = request.head.request.text

    fun placed(slot: Slot, waitedMilliseconds: Long) = shared.log.log(
        GatewayEvent.Placed(
            id,
            slot.target.id.text,
            request.attempts,
            waitedMilliseconds,
            slot.running,
            request.deadline.millisecondsLeft(shared.clock()),
            request.tablesRevision.value,
            request.priority.takeIf { request.statesPriority },
        ),
    )

    /** Reports that [target] is silent, which counts as its failure if [isFailure]. */
    fun silent(target: TargetId, detail: String, startedAt: Timestamp, isFailure: Boolean) {
        if (isFailure) {
            shared.dispatcher.observe(request.pool.name) { recordFailure(target, it) }
        }
        shared.log.log(
            GatewayEvent.TargetSilent(
                id,
                target.text,
                detail,
                shared.clock().millisecondsSince(startedAt),
                request.progress?.lastEvent,
            ),
        )
    }

    fun resent(reason: RetryReason) {
        shared.metrics.counters.retried(reason)
        shared.log.log(GatewayEvent.Resent(id, reason.code))
    }

    fun superseded(target: TargetId, winner: TargetId?) =
        shared.log.log(GatewayEvent.AttemptSuperseded(id, target.text, winner?.text))

    fun delivered(target: TargetId, result: AttemptResult.Delivered) {
        shared.dispatcher.observe(request.pool.name) { recordSuccess(target) }
        // A rejection takes no time, and the rest of an interrupted stream is not the whole work.
        val isWholeWork = result.status in SUCCESS_STATUSES && request.head.resumeAfter == null
        val firstSentAt = request.firstSentAt
        if (isWholeWork && firstSentAt != null) {
            shared.dispatcher.recordAnswer(request.pool.name, firstSentAt)
        }
        shared.suspects.recordAnswer(request)
        answered(target, result.status)
    }

    /** Reports a failed attempt, which counts as a failure of [target] unless [isCounted]. */
    fun failed(
        target: TargetId,
        result: AttemptResult.Failed,
        startedAt: Timestamp,
        isCounted: Boolean,
    ) {
        if (result.isCrash) shared.suspects.recordCrash(request)
        if (!result.isTargetWell && !isCounted) {
            shared.dispatcher.observe(request.pool.name) { recordFailure(result.end, target, it) }
        }
        shared.log.log(
            GatewayEvent.AttemptFailed(
                id,
                target.text,
                result.end.name.lowercase(),
                result.detail,
                shared.clock().millisecondsSince(startedAt),
                request.progress?.lastEvent,
            ),
        )
    }

    private fun TargetOutcomes.recordFailure(end: AttemptEnd, target: TargetId, now: Timestamp) {
        when (end) {
            AttemptEnd.NOT_SENT, AttemptEnd.WRONG_TARGET -> recordUnreachable(target, now)

            AttemptEnd.SILENT, AttemptEnd.REJECTED, AttemptEnd.FAILED, AttemptEnd.BROKEN ->
                recordFailure(target, now)
        }
    }

    /** Reports the answer of [target], or an earlier error answer if null, to the caller. */
    fun answered(target: TargetId?, status: Int) {
        val durationMilliseconds = shared.clock().millisecondsSince(request.arrivedAt)
        val firstEventMilliseconds =
            request.progress?.firstEventAt?.millisecondsSince(request.arrivedAt)
        shared.metrics.recordAnswer(durationMilliseconds)
        firstEventMilliseconds?.let(shared.metrics::recordFirstEvent)
        shared.metrics.counters.answered(request.route.name.text)
        shared.log.log(
            GatewayEvent.Answered(
                id,
                request.route.name.text,
                target?.text ?: "-",
                status,
                request.attempts,
                durationMilliseconds,
                firstEventMilliseconds,
                request.progress?.longestGapMilliseconds,
            ),
        )
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}
