package org.vanilladale.agent

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import org.vanilladale.core.crash.InFlightRequests
import org.vanilladale.core.crash.RequestFingerprints
import org.vanilladale.core.crash.StartDecision
import org.vanilladale.core.crash.SuspectLimits
import org.vanilladale.core.crash.SuspectRegistry
import org.vanilladale.core.crash.crashIdOf
import org.vanilladale.schema.CrashReport
import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.Submit
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Watches one target for crashes and reports what was in flight.
 *
 * @param acceptsConnections returns true when the health check reaches the target
 * @param onHealth takes each change of the target's health
 * @param report sends a frame on all connections
 */
internal class TargetCrashes(
    private val scope: CoroutineScope,
    private val target: TargetId,
    private val incarnation: Incarnation,
    private val clock: () -> Timestamp,
    private val acceptsConnections: suspend () -> Boolean,
    private val onHealth: (Boolean) -> Unit,
    private val report: (CrashReport) -> Unit,
) {
    private val inFlight = InFlightRequests<Long>()
    private val suspects = SuspectRegistry(SuspectLimits())
    private val withdrawals = ConcurrentHashMap<Long, CompletableDeferred<Unit>>()
    private val nextCall = AtomicLong()
    private val crashes = AtomicLong()
    private val checking = Mutex()
    private var isDown = false

    /** All that is known of suspects, for a new connection. */
    val reports: List<CrashReport> get() = suspects.reports(clock())

    /** Returns a caller that records its calls in flight and runs suspects alone. */
    fun watching(caller: TargetCaller): TargetCaller = { submit, gate, onText ->
        val call = nextCall.getAndIncrement()
        var started = false
        var outcome: TargetOutcome? = null
        try {
            val request = fingerprintsOf(submit)
            while (inFlight.start(call, request, submit.isolated) == StartDecision.WAIT) {
                delay(TURN_MILLISECONDS)
            }
            started = true
            val ended = if (submit.binding == null) {
                callUnlessSuspected(call, submit, request) { caller(submit, gate, onText) }
            } else {
                // A bound request may have been dispatched already, so it is never ended here.
                caller(submit, gate, onText)
            }
            if (ended is TargetOutcome.Broken) withContext(NonCancellable) { onBroken() }
            outcome = ended
            ended
        } finally {
            val wasEndedHere = outcome == null || outcome == TargetOutcome.Withdrawn
            if (started && wasEndedHere) {
                scope.launch { stopLater(call, checksTarget = outcome != null) }
            } else {
                inFlight.stop(call)
            }
        }
    }

    /**
     * A call that was ended on this side may have reached the target, which can still crash of it,
     * so the call counts as in flight for a while.
     *
     * @param checksTarget looks for a crash, which the ended call can't notice any more
     */
    private suspend fun stopLater(call: Long, checksTarget: Boolean) {
        val until = clock().deadlineAfter(LATE_CRASH_MILLISECONDS)
        try {
            while (!until.hasPassed(clock())) {
                delay(LATE_CRASH_POLL_MILLISECONDS)
                if (checksTarget) onBroken()
            }
        } finally {
            inFlight.stop(call)
        }
    }

    /** Takes a report of another process and sends on what was new. */
    fun onCrashReport(frame: CrashReport) {
        val news = suspects.merge(frame, clock()) ?: return
        report(news)
        inFlight.nonIsolatedSuspectsOf(news).forEach { withdrawals[it]?.complete(Unit) }
    }

    /** Removes expired suspects until the coroutine is cancelled. */
    suspend fun forgetExpiredForever() {
        while (true) {
            delay(FORGET_MILLISECONDS)
            suspects.forgetExpired(clock())
        }
    }

    /** Ends the call when a report from another target makes its request a suspect. */
    private suspend fun callUnlessSuspected(
        call: Long,
        submit: Submit,
        request: RequestFingerprints,
        block: suspend () -> TargetOutcome,
    ): TargetOutcome = coroutineScope {
        val withdrawal = CompletableDeferred<Unit>()
        withdrawals[call] = withdrawal
        try {
            // The book is read after the call is listed, so that no report falls between the two.
            val refusal = suspects.startRefusalOrNull(request, submit.isolated, clock())
            if (refusal != null) return@coroutineScope TargetOutcome.Withheld(refusal)
            val outcome = async { block() }
            select<TargetOutcome> {
                outcome.onAwait { it }
                withdrawal.onAwait {
                    outcome.cancelAndJoin()
                    Logger.info { "agent: ${submit.workspace}/${submit.key} is suspected, ended" }
                    TargetOutcome.Withdrawn
                }
            }
        } finally {
            withdrawals.remove(call)
        }
    }

    /** A lost connection alone is no crash: the target has to refuse the health check too. */
    private suspend fun onBroken() = checking.withLock {
        if (isDown || acceptsConnections()) return@withLock
        isDown = true
        val crash = crashIdOf(target, incarnation, crashes.incrementAndGet())
        val found = inFlight.crash(crash, clock().deadlineAfter(SUSPICION_MILLISECONDS))
        Logger.warn { "agent: target $target crashed with ${found.suspects.size / 2} in flight" }
        // Entries choose an isolated target among the live ones, so they need the suspects first.
        suspects.merge(found, clock())?.let(report)
        onHealth(false)
        scope.launch { awaitHealth() }
    }

    private suspend fun awaitHealth() {
        while (!acceptsConnections()) delay(HEALTH_MILLISECONDS)
        checking.withLock { isDown = false }
        onHealth(true)
        Logger.info { "agent: target $target answers again" }
    }

    private fun fingerprintsOf(submit: Submit) = RequestFingerprints.fromRequest(
        submit.workspace,
        submit.kind,
        submit.key,
        submit.body,
    )

    private companion object {
        const val TURN_MILLISECONDS = 5L
        const val HEALTH_MILLISECONDS = 250L

        /** Shorter than the wait of a suspect before it runs alone elsewhere. */
        const val LATE_CRASH_MILLISECONDS = 400L
        const val LATE_CRASH_POLL_MILLISECONDS = 100L
        const val FORGET_MILLISECONDS = 10_000L

        /** Callers give up repeating a request within this time. */
        const val SUSPICION_MILLISECONDS = 3_600_000L
    }
}
