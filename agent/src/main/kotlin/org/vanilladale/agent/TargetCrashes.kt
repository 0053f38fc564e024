package org.vanilladale.agent

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import org.vanilladale.core.crash.InFlightBook
import org.vanilladale.core.crash.RequestFingerprints
import org.vanilladale.core.crash.StartDecision
import org.vanilladale.core.crash.SuspectBook
import org.vanilladale.core.crash.SuspectLimits
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
    private val inFlight = InFlightBook<Long>()
    private val suspects = SuspectBook(SuspectLimits())
    private val nextCall = AtomicLong()
    private val crashes = AtomicLong()
    private val checking = Mutex()
    private var isDown = false

    /** All that is known of suspects, for a new connection. */
    val reports: List<CrashReport> get() = suspects.reports(clock())

    /** Returns a caller that records its calls in flight and runs suspects alone. */
    fun watching(caller: TargetCaller): TargetCaller = { submit, gate, onText ->
        val call = nextCall.getAndIncrement()
        try {
            val request = fingerprintsOf(submit)
            while (inFlight.start(call, request, submit.isolated) == StartDecision.WAIT) {
                delay(TURN_MILLISECONDS)
            }
            val outcome = caller(submit, gate, onText)
            if (outcome is TargetOutcome.Broken) withContext(NonCancellable) { onBroken() }
            outcome
        } finally {
            inFlight.stop(call)
        }
    }

    /** Takes a report of another process and sends on what was new. */
    fun onCrashReport(frame: CrashReport) {
        suspects.merge(frame, clock())?.let(report)
    }

    /** Removes expired suspects until the coroutine is cancelled. */
    suspend fun forgetExpiredForever() {
        while (true) {
            delay(FORGET_MILLISECONDS)
            suspects.forgetExpired(clock())
        }
    }

    /** A lost connection alone is no crash: the target has to refuse the health check too. */
    private suspend fun onBroken() = checking.withLock {
        if (isDown || acceptsConnections()) return@withLock
        isDown = true
        onHealth(false)
        val crash = crashIdOf(target, incarnation, crashes.incrementAndGet())
        val found = inFlight.crash(crash, clock().deadlineAfter(SUSPICION_MILLISECONDS))
        Logger.warn { "agent: target $target crashed with ${found.suspects.size / 2} in flight" }
        suspects.merge(found, clock())?.let(report)
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
        const val FORGET_MILLISECONDS = 10_000L

        /** Callers give up repeating a request within this time. */
        const val SUSPICION_MILLISECONDS = 3_600_000L
    }
}
