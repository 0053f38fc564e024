package org.vanilladale.runtime

import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import org.vanilladale.core.membership.LeavingState
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Leaving
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Graceful shutdown of this process: announce, refuse new work, wait for requests in flight.
 *
 * @param inFlight number of requests in flight
 * @param announce sends the frame to every peer
 * @param isAsked true while callers still ask for what this process can tell without new work:
 *   outcomes, or where else to go
 * @param noticeMilliseconds time for which new work is still taken after the announcement
 */
public class PlannedStop(
    private val vm: VmId,
    private val drainMilliseconds: Long,
    private val clock: () -> Timestamp,
    private val inFlight: () -> Int,
    private val announce: (Leaving) -> Unit,
    private val isAsked: () -> Boolean = { false },
    private val noticeMilliseconds: Long = DEFAULT_NOTICE_MILLISECONDS,
) {
    private val state = AtomicReference<LeavingState>(LeavingState.Serving)

    /** Frame for peers that connect after the announcement; null while the process serves. */
    public val leavingOrNull: Leaving?
        get() = (state.get() as? LeavingState.Announced)?.frame

    /** Returns true when new work is to be refused. */
    public fun refusesNewWork(): Boolean = state.get().refusesNewWork(clock())

    /** Returns whether a request is accepted; see [LeavingState.accepts]. */
    public fun accepts(receivedAt: Timestamp, likelyEnd: Deadline?, latestEnd: Deadline): Boolean =
        state.get().accepts(receivedAt, likelyEnd, latestEnd)

    /** Time at which the process ends whatever is in flight; null while the process serves. */
    public val drainDeadlineOrNull: Deadline?
        get() = (state.get() as? LeavingState.Announced)?.drainDeadline

    /**
     * Announces the stop, unless an earlier call did, and returns when nothing is in flight or the
     * drain deadline passes.
     */
    public suspend fun run() {
        val announced = announceOnce()
        while (!announced.isDrained(inFlight(), clock()) || asks(announced)) {
            delay(POLL_MILLISECONDS)
        }
        Logger.info { "stop: $vm drained, ${inFlight()} requests in flight" }
    }

    private fun announceOnce(): LeavingState.Announced {
        val announced = LeavingState.Serving.announce(
            vm,
            clock(),
            noticeMilliseconds,
            drainMilliseconds,
        )
        val earlier = state.compareAndExchange(LeavingState.Serving, announced)
        if (earlier is LeavingState.Announced) return earlier
        // An exception would end the process with all requests in flight. Peers notice the end of
        // this process without the announcement, only later.
        runCatching { announce(announced.frame) }.onFailure { fault ->
            Logger.error(fault) { "stop: $vm could not announce that it leaves" }
        }
        Logger.info { "stop: $vm leaves, ${inFlight()} requests in flight" }
        return announced
    }

    private fun asks(announced: LeavingState.Announced): Boolean {
        val limit = announced.frame.leavingAt.deadlineAfter(ASKED_MILLISECONDS)
        return isAsked() && !minOf(limit, announced.drainDeadline).hasPassed(clock())
    }

    public companion object {
        /** Peers learn of the stop within this time; callers' requests on the way still run. */
        public const val DEFAULT_NOTICE_MILLISECONDS: Long = 2_000

        private const val POLL_MILLISECONDS = 20L

        /** Callers that go on asking a leaving process hold it up for this time at most. */
        private const val ASKED_MILLISECONDS = 10_000L
    }
}
