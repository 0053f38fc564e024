package org.vanilladale.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.membership.LeavingState
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.PlannedStop
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.GatewaySettings
import org.vanilladale.schema.Timestamp

/**
 * Planned stop of a gateway within its grace period.
 *
 * Requests are accepted as long as they can end in time; see [LeavingState.accepts]. Those that are
 * still in flight shortly before the forced end are answered, so that their callers learn whether
 * they may have run. Then connections are closed, so that no request is read that the end of the
 * process would cut off.
 *
 * @param longestUsualMillisecondsOrNull returns the time that few answers of a pool exceed, or null
 *   before the first answer
 * @param hasOtherEntries whether another entry serves callers
 * @param closeServers refuses new connections of callers, closes each open one as soon as it has no
 *   request in flight, and returns when all are closed, at the deadline at the latest
 * @param announce tells the peers that this entry is leaving
 */
internal class GatewayStop(
    settings: GatewaySettings,
    private val log: GatewayLog,
    private val clock: () -> Timestamp,
    private val longestUsualMillisecondsOrNull: (GatewayPool) -> Long?,
    private val hasOtherEntries: () -> Boolean,
    private val closeServers: suspend (Deadline) -> Unit,
    announce: () -> Unit,
) {
    /** Requests of callers in flight. */
    val drain: DrainState = DrainState(clock, { isLeaving }, ::refusalOrNull)

    /** True once the requests that are left are being interrupted. */
    @Volatile
    private var isEnding = false

    /** Time from the stop signal until the requests that are left are interrupted. */
    private val stopMilliseconds =
        ((settings.graceSeconds * MILLISECONDS_PER_SECOND).toLong() - EXIT_MILLISECONDS)
            .coerceAtLeast(0)
    private val noticeMilliseconds = minOf(NOTICE_MILLISECONDS, stopMilliseconds)
    private val plannedStop = PlannedStop(
        settings.vm,
        stopMilliseconds - noticeMilliseconds,
        clock,
        { drain.inFlight },
        { announce() },
        { drain.hasRecentRequests },
        noticeMilliseconds,
    )

    /** True once the stop has been announced. */
    val isLeaving: Boolean get() = plannedStop.leavingOrNull != null

    /**
     * Announces the stop and returns when no connection of a caller is open or the grace period
     * ends. The result is the deadline of writing the log.
     */
    suspend fun run(): Deadline {
        val beganAt = clock()
        logStage("began", beganAt)
        plannedStop.run()
        isEnding = true
        // Waits for a request that was accepted after the last look at those in flight.
        plannedStop.run()
        logStage("ended", beganAt)
        drain.interruptAll()
        // A stop that is late still gives the last answers time to be written.
        val closeDeadline = maxOf(
            beganAt.deadlineAfter(stopMilliseconds + CLOSE_MILLISECONDS),
            clock().deadlineAfter(LEAST_CLOSE_MILLISECONDS),
        )
        closeServers(closeDeadline)
        withTimeoutOrNull(SETTLE_MILLISECONDS) {
            while (drain.connections > 0) delay(POLL_MILLISECONDS)
        }
        drain.reportUnfinished()
        logStage("closed", beganAt)
        return beganAt.deadlineAfter(stopMilliseconds + LOG_MILLISECONDS)
    }

    private fun logStage(stage: String, beganAt: Timestamp) {
        val afterMilliseconds = clock().millisecondsSince(beganAt)
        val event =
            GatewayEvent.Stopping(stage, drain.inFlight, drain.connections, afterMilliseconds)
        log.log(event)
    }

    /** Returns the refusal of a request that could not be answered before this process ends. */
    private fun refusalOrNull(
        head: CallerHead,
        pool: GatewayPool,
        times: RequestTimes,
        step: AcceptanceStep,
    ): Refusal? {
        val stopDeadline = plannedStop.drainDeadlineOrNull ?: return null
        val now = clock()
        val likelyMilliseconds = longestUsualMillisecondsOrNull(pool)
        val likelyEnd = likelyMilliseconds?.let(now::deadlineAfter)
        val latestMilliseconds = times.deadline.millisecondsLeft(now)
        val leftMilliseconds = stopDeadline.millisecondsLeft(now)
        if (!isEnding && plannedStop.accepts(times.receivedAt, likelyEnd, times.deadline)) {
            log.log(
                GatewayEvent.AcceptedWhileLeaving(
                    head.request.text,
                    step.code,
                    likelyMilliseconds,
                    latestMilliseconds,
                    leftMilliseconds,
                ),
            )
            return null
        }
        return Refusal(
            RefusalReason.LEAVING,
            detail = "${step.code}: takes ${likelyMilliseconds ?: "unknown"} ms, at most " +
                "$latestMilliseconds ms; the process ends its requests in $leftMilliseconds ms",
            // Callers use another entry at once, if there is one.
            retryAt = if (hasOtherEntries()) null else stopDeadline,
        )
    }

    private companion object {
        /**
         * Callers keep a list of addresses for up to three times its lifetime of one second. The
         * signal may have been sent some hundred milliseconds before this process handles it.
         */
        const val NOTICE_MILLISECONDS = 2_700L

        /**
         * Part of the grace period in which the last requests are answered, the log is written and
         * the process ends. On a VM with half a core, this takes up to a third of a second.
         */
        const val EXIT_MILLISECONDS = 500L

        /** Leaves the rest of [LOG_MILLISECONDS] to the log. */
        const val CLOSE_MILLISECONDS = 300L

        /** Leaves the rest of [EXIT_MILLISECONDS] to the exit. */
        const val LOG_MILLISECONDS = 450L
        const val LEAST_CLOSE_MILLISECONDS = 200L

        /** Time in which connections that were closed are reported as closed. */
        const val SETTLE_MILLISECONDS = 50L
        const val POLL_MILLISECONDS = 5L
        const val MILLISECONDS_PER_SECOND = 1_000
    }
}
