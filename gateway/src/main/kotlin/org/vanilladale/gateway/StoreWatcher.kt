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
 * [WATCH_MILLISECONDS] at the latest, and immediately when a peer has a newer revision.
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
    private var position: Revision? = null
    private var failures = 0
    private var lastAnswerAt = clock()
    private var callStartedAt = clock()
    private var graceUntil: Deadline = clock().deadlineAfter(0)

    /** Queries the store again immediately because a peer has a newer revision. */
    fun refresh() {
        refreshRequests.trySend(Unit)
    }

    /** Watches the store until [scope] ends. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val from = position
            callStartedAt = clock()
            if (from == null) take(store.read(timeoutMilliseconds())) else take(watch(scope, from))
        }
    }

    private suspend fun watch(scope: CoroutineScope, from: Revision): StoreReadResult {
        while (refreshRequests.tryReceive().isSuccess) Unit
        val answer =
            scope.async { store.watch(from, WATCH_MILLISECONDS, timeoutMilliseconds()) }
        return select {
            answer.onAwait { it }
            refreshRequests.onReceive {
                answer.cancel()
                store.watch(from, 0, timeoutMilliseconds())
            }
        }
    }

    private suspend fun take(read: StoreReadResult) {
        if (read !is StoreReadResult.Failed) handleSuccess()
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
                logState("history-lost")
                position = null
            }

            is StoreReadResult.Failed -> handleFailure(read)
        }
    }

    private fun handleSuccess() {
        val now = clock()
        val pause = now.millisecondsSince(lastAnswerAt)
        metrics.recordStorePause(pause)
        if (failures > 0) {
            if (pause >= MIN_LAPSE_MILLISECONDS) {
                graceUntil = now.deadlineAfter(TargetDirectory.DEFAULT_GRACE_MILLISECONDS)
            }
            logState("regained")
        }
        failures = 0
        lastAnswerAt = now
    }

    private fun logState(state: String, reason: String? = null) {
        val now = clock()
        log.log(
            GatewayEvent.StoreState(
                state,
                position?.value,
                now.millisecondsSince(callStartedAt),
                now.millisecondsSince(lastAnswerAt),
                failures,
                reason,
            ),
        )
    }

    /**
     * Returns the timeout of the next call. It starts short, so that a store that does not answer
     * is asked again soon, and doubles with each failure for a store that is slow.
     */
    private fun timeoutMilliseconds(): Long =
        MIN_TIMEOUT_MILLISECONDS shl failures.coerceAtMost(MAX_TIMEOUT_DOUBLINGS)

    private suspend fun handleFailure(read: StoreReadResult.Failed) {
        metrics.counters.event("store-call-failed")
        val retryDelay = (
            MIN_RETRY_DELAY_MILLISECONDS shl
                failures.coerceAtMost(MAX_RETRY_DELAY_DOUBLINGS)
            )
        failures++
        if (failures == 1) logState("lost", read.reason)
        delay(retryDelay / 2 + random.nextLong(retryDelay / 2 + 1))
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

        /**
         * The store normally answers within a few milliseconds, and within a quarter of a second
         * when it is slow.
         */
        const val MIN_TIMEOUT_MILLISECONDS = 400L

        /** Limits the timeout to 1.6 s. Dependent components do not tolerate a slower store. */
        const val MAX_TIMEOUT_DOUBLINGS = 2
        const val MAX_RETRY_DELAY_DOUBLINGS = 3

        /**
         * Registrations lapse after three intervals of 1.2 s without a heartbeat. The last one
         * before an outage may be almost an interval old.
         */
        const val MIN_LAPSE_MILLISECONDS = 2_400L
    }
}
