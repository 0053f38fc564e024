package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.SocketAddressText
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

@OptIn(ExperimentalCoroutinesApi::class)
class StoreWatcherTest {
    /**
     * Does not answer calls that begin before [backAt], and answers later ones after [answersIn]
     * ms.
     */
    private class SilentStore(
        private val now: () -> Long,
        private val backAt: Long,
        private val answersIn: Long,
    ) : StorePort {
        override suspend fun read(timeoutMilliseconds: Long): StoreReadResult {
            val isAnswered = now() >= backAt && answersIn < timeoutMilliseconds
            delay(if (isAnswered) answersIn else timeoutMilliseconds)
            return if (isAnswered) {
                StoreReadResult.Snapshot(Revision(1), null, emptyList(), null)
            } else {
                StoreReadResult.Failed("no answer within $timeoutMilliseconds ms")
            }
        }

        override suspend fun watch(
            position: Revision,
            waitMilliseconds: Long,
            timeoutMilliseconds: Long,
        ): StoreReadResult {
            delay(waitMilliseconds)
            return StoreReadResult.Changes(position, null, emptyList(), null)
        }
    }

    /**
     * Holds one target. Watches in flight at [silentAt] get no answer, and calls that begin in
     * [failing] fail at once.
     */
    private class OneTargetStore(
        private val now: () -> Long,
        private val silentAt: Long = Long.MAX_VALUE,
        private val failing: LongRange = LongRange.EMPTY,
    ) : StorePort {
        private var revision = 1L
        private var target: KnownTarget? = targetOf(leaving = false)

        fun set(changed: KnownTarget?) {
            target = changed
            revision++
        }

        override suspend fun read(timeoutMilliseconds: Long): StoreReadResult {
            if (now() in failing) return StoreReadResult.Failed("refused")
            val position = Revision(revision)
            return StoreReadResult.Snapshot(position, null, listOfNotNull(target), position)
        }

        override suspend fun watch(
            position: Revision,
            waitMilliseconds: Long,
            timeoutMilliseconds: Long,
        ): StoreReadResult {
            val startedAt = now()
            if (startedAt in failing) return StoreReadResult.Failed("refused")
            while (position.value == revision && now() < startedAt + waitMilliseconds) {
                if (silentAt in startedAt..now()) {
                    delay(startedAt + waitMilliseconds + timeoutMilliseconds - now())
                    return StoreReadResult.Failed("no answer")
                }
                delay(STORE_STEP_MILLISECONDS)
            }
            val current = Revision(revision)
            val changes = listOf(TargetChange(TARGET, target)).filter { current > position }
            return StoreReadResult.Changes(current, null, changes, current)
        }
    }

    private fun TestScope.startWatcher(
        store: StorePort,
        directory: Locked<TargetDirectory> = Locked(TargetDirectory()),
    ): StoreCache {
        val clock = { Timestamp.fromEpochMilliseconds(currentTime) }
        val log = GatewayLog(VmId.parse("vm-0"), EventLog({}, {}), clock)
        val cache = StoreCache(directory, log, clock) {}
        val watcher = StoreWatcher(store, cache, log, clock, Random(1))
        backgroundScope.launch { watcher.run(backgroundScope) }
        return cache
    }

    @Test
    fun `targets are known soon after a store outage that lasted during the start`() = runTest {
        val cache = startWatcher(SilentStore({ currentTime }, backAt = 200, answersIn = 5))
        while (!cache.hasTargets) delay(10)
        expectThat(currentTime).isLessThan(700)
    }

    @Test
    fun `timeout grows until a very slow store can answer`() = runTest {
        val cache = startWatcher(SilentStore({ currentTime }, backAt = 0, answersIn = 1_400))
        delay(10_000)
        expectThat(cache.hasTargets).isTrue()
    }

    @Test
    fun `a leaving target is known before an entry whose watch fell silent counts as connected`() =
        runTest {
            val store = OneTargetStore({ currentTime }, silentAt = 500)
            val directory = Locked(TargetDirectory())
            startWatcher(store, directory)
            delay(1_000)
            store.set(targetOf(leaving = true))
            delay(500 + CONTACT_MILLISECONDS - currentTime)
            expectThat(directory.use { it.placeable }).isEmpty()
        }

    @Test
    fun `a target that is removed while one call fails gets no requests after its drain time`() =
        runTest {
            val store = OneTargetStore({ currentTime }, failing = 1_790L..1_900L)
            val directory = Locked(TargetDirectory())
            startWatcher(store, directory)
            delay(1_850)
            store.set(null)
            delay(DRAIN_MILLISECONDS)
            expectThat(directory.usableNow(currentTime)).isEmpty()
        }

    @Test
    fun `a target whose registration lapsed in an outage is used until it can be back`() = runTest {
        val store = OneTargetStore({ currentTime }, failing = 1_790L..6_000L)
        val directory = Locked(TargetDirectory())
        startWatcher(store, directory)
        delay(5_000)
        store.set(null)
        delay(2_500)
        expectThat(directory.usableNow(currentTime)).hasSize(1)
        delay(2_000)
        expectThat(directory.usableNow(currentTime)).isEmpty()
    }

    private fun Locked<TargetDirectory>.usableNow(milliseconds: Long) =
        use { it.usable(POOL, Timestamp.fromEpochMilliseconds(milliseconds)) }

    private companion object {
        const val STORE_STEP_MILLISECONDS = 5L

        /** Time of the platform after which an entry whose connections failed counts again. */
        const val CONTACT_MILLISECONDS = 3_000L

        /** Time of the platform for which a target that leaves goes on serving. */
        const val DRAIN_MILLISECONDS = 2_000L
        val POOL = PoolName.parse("desk")
        val TARGET = TargetId.parse("i-1")

        fun targetOf(leaving: Boolean) = KnownTarget(
            TARGET,
            POOL,
            SocketAddressText.parse("10.0.0.1:80"),
            null,
            1,
            leaving,
            null,
        )
    }
}
