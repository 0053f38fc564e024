package org.vanilladale.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.Revision
import org.vanilladale.schema.Timestamp
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
            val store = OneTargetStore({ currentTime }, silent = 500L..500L)
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
        /** Time of the platform after which an entry whose connections failed counts again. */
        const val CONTACT_MILLISECONDS = 3_000L

        /** Time of the platform for which a target that leaves goes on serving. */
        const val DRAIN_MILLISECONDS = 2_000L
    }
}
