package org.vanilladale.gateway

import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.KnownTarget
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.runtime.EventLog
import org.vanilladale.runtime.steadyNow
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.StoreEra
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isTrue

/** Guards against a store, restored from an older copy, that undoes what it had acknowledged. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreRestoreTest {
    private val directory = Locked(TargetDirectory())
    private val lines = CopyOnWriteArrayList<String>()
    private val eventLog = EventLog(lines::add, {})
    private val north = DataCentreName.parse("north")
    private var peerEra: StoreEra? = null

    private fun target(id: String, startedAt: Long = 1, leaving: Boolean = false): KnownTarget =
        targetOf(leaving).copy(
            id = TargetId.parse(id),
            dataCentre = north,
            startedAt = Timestamp.fromEpochMilliseconds(startedAt),
        )

    private fun TestScope.usable(): List<String> {
        val now = Timestamp.fromEpochMilliseconds(currentTime)
        return directory.use { known -> known.usable(POOL, now).map { it.id.text } }
    }

    private fun flushLog() =
        expectThat(eventLog.flush(steadyNow().deadlineAfter(5_000), ::steadyNow)).isTrue()

    /**
     * Starts with the targets [copied], makes [lost] changes and restores the state before them.
     */
    private suspend fun TestScope.restoredStore(
        vararg copied: KnownTarget,
        era: StoreEra? = StoreEra(1),
        lost: RestorableStore.() -> Unit,
    ): RestorableStore {
        val store = RestorableStore({ currentTime }, era)
        copied.forEach { store.change { with(it) } }
        startWatcher(store, directory, eventLog) { peerEra }
        delay(100)
        val copy = store.content
        store.lost()
        delay(500)
        store.restore(copy)
        return store
    }

    @Test
    fun `a target that joins after a restore is used although revisions are assigned again`() =
        runTest {
            val store = restoredStore(target("a")) {
                repeat(3) { change { with(target("a")) } }
            }
            store.change { with(target("b")) }
            repeat(4) { store.change { with(target("a")) } }
            delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
            expectThat(usable()).containsExactlyInAnyOrder("a", "b")
        }

    @Test
    fun `a target that was removed stays so until it starts again`() = runTest {
        val store = restoredStore(target("a"), target("b")) {
            change { with(target("b", leaving = true)) }
            change { without(TargetId.parse("b")) }
        }
        delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
        expectThat(usable()).containsExactlyInAnyOrder("a")
        store.change { with(target("b")) }
        delay(1_000)
        expectThat(usable()).containsExactlyInAnyOrder("a")
        store.change { with(target("b", startedAt = 2)) }
        delay(1_000)
        expectThat(usable()).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `a leaving target that the copy lists as ready stays leaving through two restores`() =
        runTest {
            val store = restoredStore(target("a"), target("b")) {
                change { with(target("b", leaving = true)) }
            }
            val copy = store.content
            delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
            expectThat(usable()).containsExactlyInAnyOrder("a")
            store.restore(copy)
            delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
            expectThat(usable()).containsExactlyInAnyOrder("a")
        }

    @Test
    fun `a target whose registration lapsed is used when it registers again after a restore`() =
        runTest {
            val store = restoredStore(target("a")) { change { without(TargetId.parse("a")) } }
            delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
            expectThat(usable()).isEmpty()
            store.change { with(target("a")) }
            delay(1_000)
            expectThat(usable()).containsExactlyInAnyOrder("a")
        }

    @Test
    fun `targets that joined since the copy have two seconds to register again`() = runTest {
        val store = restoredStore(target("a")) {
            change { with(target("b")) }
            change { with(target("c")) }
        }
        withTimeout(5_000) { while (store.reads.size < 2) delay(1) }
        val readAt = currentTime
        delay(GRACE_MILLISECONDS - 100)
        expectThat(usable()).containsExactlyInAnyOrder("a", "b", "c")
        store.change { with(target("b")) }
        delay(readAt + GRACE_MILLISECONDS + 100 - currentTime)
        expectThat(usable()).containsExactlyInAnyOrder("a", "b")
    }

    @Test
    fun `an evacuation that the copy lacks holds for ten seconds`() = runTest {
        val store = restoredStore(target("a")) { change { evacuating(north, true) } }
        withTimeout(5_000) { while (store.reads.size < 2) delay(1) }
        delay(EVACUATION_MILLISECONDS - 100)
        expectThat(usable()).isEmpty()
        delay(WATCH_MILLISECONDS + 200)
        expectThat(usable()).hasSize(1)
    }

    @Test
    fun `an evacuation that the operator writes again holds until it is cancelled`() = runTest {
        val store = restoredStore(target("a")) { change { evacuating(north, true) } }
        delay(5_000)
        store.change { evacuating(north, true) }
        delay(EVACUATION_MILLISECONDS * 2)
        expectThat(usable()).isEmpty()
        store.change { evacuating(north, false) }
        delay(1_000)
        expectThat(usable()).hasSize(1)
    }

    @Test
    fun `answers of an old era are not applied`() = runTest {
        val store = restoredStore(target("a")) { change { with(target("b")) } }
        delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
        store.era = StoreEra(1)
        store.change { without(TargetId.parse("a")) }
        delay(1_000)
        expectThat(usable()).contains("a")
        store.era = StoreEra(2)
        delay(2_000)
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `answers of an era before that of a peer are not applied`() = runTest {
        val store = restoredStore(target("a"), era = StoreEra(4)) {}
        delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
        peerEra = StoreEra(6)
        store.change { without(TargetId.parse("a")) }
        delay(1_000)
        expectThat(usable()).contains("a")
    }

    @Test
    fun `a restore is logged once and read once after a short random time`() = runTest {
        val store = restoredStore(target("a")) {
            change { with(target("b")) }
            change { with(target("c")) }
        }
        // A write ends the watch at once.
        repeat(3) { store.change { with(target("d")) } }
        val restoredAt = currentTime
        delay(5_000)
        expectThat(store.reads).hasSize(2)
        expectThat(store.reads.last()).isIn(restoredAt..restoredAt + DELAY_MILLISECONDS + 10)
        flushLog()
        val line = lines.single { "\"store-era\"" in it }
        expectThat(line).contains(""""previous":1,"era":2""")
        expectThat(line).contains(""""targets":3""")
    }

    @Test
    fun `the revision of the targets falls with a restore`() = runTest {
        val store = RestorableStore({ currentTime })
        val copy = store.content.with(target("a"))
        repeat(5) { store.change { with(target("a")) } }
        val cache = startWatcher(store, directory)
        delay(100)
        store.restore(copy)
        delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
        expectThat(cache.targetsPosition?.revision).isEqualTo(Revision(2))
        expectThat(cache.era).isEqualTo(StoreEra(2))
    }

    @Test
    fun `a store that names no era is read as before`() = runTest {
        val store = restoredStore(target("a"), era = null) {
            change { with(target("b", leaving = true)) }
        }
        repeat(2) { store.change { with(target("b")) } }
        delay(WATCH_MILLISECONDS + DELAY_MILLISECONDS)
        expectThat(usable()).containsExactlyInAnyOrder("a", "b")
        flushLog()
        expectThat(lines.none { "\"store-era\"" in it }).isTrue()
    }

    private companion object {
        /** Longest time until a watch that has nothing to deliver ends. */
        const val WATCH_MILLISECONDS = 1_800L

        /** Longest random time before the read that follows a restore, and the call after it. */
        const val DELAY_MILLISECONDS = 310L
        const val GRACE_MILLISECONDS = 2_000L
        const val EVACUATION_MILLISECONDS = 10_000L
    }
}
