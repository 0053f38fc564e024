package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import org.vanilladale.core.gateway.StorePosition
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Revision
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.Timestamp

/**
 * Keeps [cache] up to date: reads the store once and then watches it for changes.
 *
 * A watch can stop delivering changes without an error. Each watch call therefore ends after
 * [WATCH_MILLISECONDS] at the latest, and immediately when a peer has a newer revision. After a
 * failure, calls that do not wait for changes overlap until one is answered; see
 * [OverlappingCalls].
 *
 * After a restore of the store, revisions of the old era mean nothing in the new one. An answer of
 * a new era to a watch is therefore replaced by a whole read, and an answer of an old era counts as
 * failed.
 *
 * @param peerEra returns the highest era that a live peer knows
 */
internal class StoreWatcher(
    private val store: StorePort,
    private val cache: StoreCache,
    private val log: GatewayLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Timestamp,
    private val random: Random,
    private val peerEra: () -> StoreEra? = { null },
) {
    private val refreshRequests = Channel<Unit>(Channel.CONFLATED)
    private val callsWhileLost =
        OverlappingCalls(MAX_CALLS, PATIENCE_MILLISECONDS, ::retryDelayMilliseconds)
    private var position: Revision? = null

    /** Number of calls that failed since the last answer. */
    private var failures = 0
    private var lastAnswerAt = clock()
    private var graceUntil: Deadline = clock().deadlineAfter(0)

    /** Latest position of the era before, and the first of the new one; null outside a restore. */
    private var lastBeforeRestore: Revision? = null
    private var firstRead: StorePosition? = null

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
        return Call(startedAt, block().unlessStale())
    }

    private fun StoreReadResult.unlessStale(): StoreReadResult {
        val known = listOfNotNull(cache.era, peerEra()).maxOrNull()
        if (!StorePosition.isNewer(known, era)) return this
        metrics.counters.event("store-answer-stale")
        return StoreReadResult.Failed("answer of the era $era, the store has reached $known")
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
        if (StorePosition.isNewer(read.era, cache.era)) {
            takeNewEra(read)
            return
        }
        when (read) {
            is StoreReadResult.Snapshot -> {
                cache.apply(read, graceUntil)
                position = read.position
                recordEra()
            }

            is StoreReadResult.Changes -> {
                cache.apply(read, graceUntil)
                position = maxOf(read.position, position ?: read.position)
                recordEra()
                // Changes arrive in bursts. Waiting combines several of them into one call.
                if (read.tables != null || read.targets.isNotEmpty()) delay(BURST_MILLISECONDS)
            }

            is StoreReadResult.HistoryLost -> {
                logState("history-lost", call)
                position = null
            }

            is StoreReadResult.Failed -> {
                countFailure()
                logState("lost", call, read.reason)
            }
        }
    }

    /**
     * Takes an answer of a new era. Only a snapshot is applied, since changes after a position of
     * the old era may be incomplete. The read waits a random time so that entries don't all read at
     * once.
     */
    private suspend fun takeNewEra(read: StoreReadResult) {
        lastBeforeRestore = lastBeforeRestore ?: position
        if (read is StoreReadResult.Snapshot) {
            applyRestored(read)
            return
        }
        if (read is StoreReadResult.Changes && firstRead?.era != read.era) {
            firstRead = StorePosition(read.era, read.position)
        }
        position = null
        delay(random.nextLong(MAX_ERA_DELAY_MILLISECONDS + 1))
    }

    private fun applyRestored(read: StoreReadResult.Snapshot) {
        val previous = cache.era
        val reference = firstRead?.takeIf { it.era == read.era }?.revision ?: read.position
        val targets = cache.applyRestored(read, reference)
        val lost = lastBeforeRestore?.let { it.value - reference.value } ?: 0
        position = read.position
        lastBeforeRestore = null
        firstRead = null
        metrics.counters.event("store-era-changed")
        recordEra()
        log.log(
            GatewayEvent.StoreRestored(
                previous?.value ?: 0,
                read.era?.value ?: 0,
                lost.coerceAtLeast(0),
                targets,
            ),
        )
    }

    private fun recordEra() {
        cache.era?.let { metrics.counters.state("store-era", it.value.toDouble()) }
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

        /** Keeps the reads of 360 entries within 2,000 calls per second after a restore. */
        const val MAX_ERA_DELAY_MILLISECONDS = 300L

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
