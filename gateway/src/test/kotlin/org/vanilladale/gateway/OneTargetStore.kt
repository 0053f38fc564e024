package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.vanilladale.core.gateway.CallerLimits
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.SystemCounters
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId

/**
 * Store that holds one target and, once one is set, a configuration.
 *
 * @param silent time in which the store gets calls and answers none of them, nor the watches that
 *   wait as it begins
 * @param failing time in which calls fail at once
 */
internal class OneTargetStore(
    private val now: () -> Long,
    private val silent: LongRange = LongRange.EMPTY,
    private val failing: LongRange = LongRange.EMPTY,
) : StorePort {
    private var revision = 1L
    private var target: KnownTarget? = targetOf(leaving = false)
    private var tables: GatewayTables? = null

    /** Times at which calls began. */
    val calls = ArrayList<Long>()

    fun set(changed: KnownTarget?) {
        target = changed
        revision++
    }

    fun configure(tablesRevision: Long) {
        val limits = CallerLimits(1_024, 1_024, 1_000, 1_000)
        tables = GatewayTables(Revision(tablesRevision), emptyList(), emptyList(), limits, null)
        revision++
    }

    override suspend fun read(timeoutMilliseconds: Long): StoreReadResult {
        calls += now()
        if (now() in failing) return StoreReadResult.Failed("refused")
        if (now() in silent) {
            delay(timeoutMilliseconds)
            return StoreReadResult.Failed("no answer")
        }
        val position = Revision(revision)
        return StoreReadResult.Snapshot(position, tables, listOfNotNull(target), position)
    }

    override suspend fun watch(
        position: Revision,
        waitMilliseconds: Long,
        timeoutMilliseconds: Long,
    ): StoreReadResult {
        val startedAt = now()
        calls += startedAt
        if (startedAt in failing) return StoreReadResult.Failed("refused")
        while (true) {
            if (startedAt <= silent.last && now() >= silent.first) {
                delay(startedAt + waitMilliseconds + timeoutMilliseconds - now())
                return StoreReadResult.Failed("no answer")
            }
            if (position.value < revision || now() >= startedAt + waitMilliseconds) break
            delay(STORE_STEP_MILLISECONDS)
        }
        val current = Revision(revision)
        val changes = listOf(TargetChange(TARGET, target)).filter { current > position }
        return StoreReadResult.Changes(current, tables, changes, current)
    }

    private companion object {
        const val STORE_STEP_MILLISECONDS = 5L
    }
}

/** Starts to watch [store] and returns what is known of it. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.startWatcher(
    store: StorePort,
    directory: Locked<TargetDirectory> = Locked(TargetDirectory()),
    eventLog: EventLog = EventLog({}, {}),
    peerEra: () -> StoreEra? = { null },
): StoreCache {
    val clock = { Timestamp.fromEpochMilliseconds(currentTime) }
    val log = GatewayLog(VmId.parse("vm-0"), eventLog, clock)
    val metrics = GatewayMetrics(SystemCounters())
    val cache = StoreCache(directory, log, clock) {}
    val watcher = StoreWatcher(store, cache, log, metrics, clock, Random(1), peerEra)
    backgroundScope.launch { watcher.run(backgroundScope) }
    return cache
}

internal val POOL = PoolName.parse("desk")
internal val TARGET = TargetId.parse("i-1")

internal fun targetOf(leaving: Boolean) = KnownTarget(
    TARGET,
    POOL,
    SocketAddressText.parse("10.0.0.1:80"),
    null,
    1,
    leaving,
    null,
)
