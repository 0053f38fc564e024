package org.vanilladale.gateway

import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
import org.vanilladale.schema.VmId
import strikt.api.expectThat
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

    private fun TestScope.startWatcher(store: StorePort): StoreCache {
        val clock = { Timestamp.fromEpochMilliseconds(currentTime) }
        val log = GatewayLog(VmId.parse("vm-0"), EventLog({}, {}), clock)
        val cache = StoreCache(Locked(TargetDirectory()), log, clock) {}
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
}
