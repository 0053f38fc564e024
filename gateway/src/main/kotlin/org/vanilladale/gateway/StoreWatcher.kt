package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp

/**
 * Keeps [cache] up to date: reads the store once and then watches it for changes.
 *
 * A watch can stop delivering changes without an error. Each watch call therefore ends after
 * [WATCH_MILLISECONDS] at the latest, and immediately when a peer has a newer revision. After a
 * failure, calls that do not wait for changes overlap until one is answered; see
 * [OverlappingCalls].
 */
internal class StoreWatcher(
    private val store: StorePort,
    private val cache: StoreCache,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val random: Random,
) {
    private val refreshRequests = Channel<Unit>(Channel.CONFLATED)
    private val callsWhileLost =
        OverlappingCalls(MAX_CALLS, PATIENCE_MILLISECONDS, ::retryDelayMilliseconds)
    private var position: Revision? = null

    /** Number of calls that failed since the last answer. */
    private var failures = 0
    private var lastAnswerAt = clock()
    private var graceUntil: Deadline = clock().deadlineAfter(0)

    private class Call(val startedAt: Timestamp, val result: StoreReadResult)

    /** Queries the store again immediately because a peer has a newer revision. */
    fun refresh() {
        refreshRequests.trySend(Unit)
    }

    /** Watches the store until [scope] ends. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val call = if (failures == 0) {
                timed { position?.let { watch(scope, it) } ?: store.read(TIMEOUT_MILLISECONDS) }
            } else {
                callsWhileLost.firstAnswer(::callWithoutWaitOrNull)
            }
            take(call)
        }
    }

    private suspend fun timed(block: suspend () -> StoreReadResult): Call {
        val startedAt = clock()
        return Call(startedAt, block())
    }

    private suspend fun watch(scope: CoroutineScope, from: Revision): StoreReadResult {
        while (refreshRequests.tryReceive().isSuccess) Unit
        val answer = scope.async { store.watch(from, WATCH_MILLISECONDS, TIMEOUT_MILLISECONDS) }
        return select {
            answer.onAwait { it }
            refreshRequests.onReceive {
                answer.cancel()
                store.watch(from, 0, TIMEOUT_MILLISECONDS)
            }
        }
    }

    /** Asks for what is new at once. Returns null without an answer. */
    private suspend fun callWithoutWaitOrNull(): Call? {
        val call = timed {
            position?.let { store.watch(it, 0, LOST_TIMEOUT_MILLISECONDS) }
                ?: store.read(LOST_TIMEOUT_MILLISECONDS)
        }
        if (call.result !is StoreReadResult.Failed) return call
        countFailure()
        return null
    }

    private suspend fun take(call: Call) {
        val read = call.result
        if (read !is StoreReadResult.Failed) handleSuccess(call)
        when (read) {
            is StoreReadResult.Snapshot -> {
                cache.apply(read, graceUntil)
                position = read.position
            }

            is StoreReadResult.Changes -> {
                cache.apply(read, graceUntil)
                position = maxOf(read.position, position ?: read.position)
                // Changes arrive in bursts. Waiting combines several of them into one call.
                if (read.tables != null || read.targets.isNotEmpty()) delay(BURST_MILLISECONDS)
            }

            StoreReadResult.HistoryLost -> {
                logState("history-lost", call)
                position = null
            }

            is StoreReadResult.Failed -> {
                countFailure()
                logState("lost", call, read.reason)
            }
        }
    }

    private fun handleSuccess(call: Call) {
        val now = clock()
        val pause = now.millisecondsSince(lastAnswerAt)
        metrics.recordStorePause(pause)
        if (failures > 0) {
            if (pause >= MIN_LAPSE_MILLISECONDS) {
                graceUntil = now.deadlineAfter(TargetDirectory.DEFAULT_GRACE_MILLISECONDS)
            }
            logState("regained", call)
        }
        failures = 0
        lastAnswerAt = now
    }

    private fun logState(state: String, call: Call, reason: String? = null) {
        val now = clock()
        log.log(
            GatewayEvent.StoreState(
                state,
                position?.value,
                now.millisecondsSince(call.startedAt),
                now.millisecondsSince(lastAnswerAt),
                failures,
                reason,
            ),
        )
    }

    private fun countFailure() {
        failures++
        metrics.counters.event("store-call-failed")
    }

    /** Returns the pause before call number [count] of those that overlap, a random part of it. */
    private fun retryDelayMilliseconds(count: Int): Long {
        val most =
            MIN_RETRY_DELAY_MILLISECONDS shl count.coerceAtMost(MAX_RETRY_DELAY_DOUBLINGS)
        return most / 2 + random.nextLong(most / 2 + 1)
    }

    private companion object {
        /**
         * An entry counts as connected again three seconds after its connections fell silent. By
         * then a silent watch has ended, and the next one has delivered what it missed.
         */
        const val WATCH_MILLISECONDS = 1_800L

        /** A tenth of the time within which a change has to take effect. */
        const val BURST_MILLISECONDS = 150L
        const val MIN_RETRY_DELAY_MILLISECONDS = 100L

        const val MAX_RETRY_DELAY_DOUBLINGS = 3

        /**
         * The store normally answers within a few milliseconds, and within a quarter of a second
         * when it is slow.
         */
        const val TIMEOUT_MILLISECONDS = 400L

        /** Timeout after a failure. Dependent components do not tolerate a slower store. */
        const val LOST_TIMEOUT_MILLISECONDS = 1_600L

        /**
         * With the longest pause, a call follows within 1.2 s, well within the two seconds after
         * which a change has to be in force.
         */
        const val PATIENCE_MILLISECONDS = TIMEOUT_MILLISECONDS

        /** Fewer than the connections that a client opens to one server. */
        const val MAX_CALLS = 4

        /**
         * Registrations lapse after three intervals of 1.2 s without a heartbeat. The last one
         * before an outage may be almost an interval old.
         */
        const val MIN_LAPSE_MILLISECONDS = 2_400L
    }
}
