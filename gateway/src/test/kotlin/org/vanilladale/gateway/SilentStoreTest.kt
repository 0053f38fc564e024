package org.vanilladale.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.vanilladale.core.gateway.TargetDirectory
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.Revision
import strikt.api.expect
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan

/** Guards against late knowledge after a store that accepted calls and answered none. */
@OptIn(ExperimentalCoroutinesApi::class)
class SilentStoreTest {
    private class Known(val revision: Revision?, val isTargetLeaving: Boolean)

    /** Returns what is known [milliseconds] after changes that are made as [silence] ends. */
    private fun knownAfter(silence: LongRange, milliseconds: Long): Known {
        var known = Known(null, false)
        runTest {
            val store = OneTargetStore({ currentTime }, silent = silence)
            val directory = Locked(TargetDirectory())
            val cache = startWatcher(store, directory)
            delay(silence.last + 1)
            store.configure(tablesRevision = 2)
            store.set(targetOf(leaving = true))
            delay(milliseconds)
            known = Known(cache.tables?.revision, directory.use { it.placeable }.isEmpty())
        }
        return known
    }

    private fun expectKnown(known: Map<LongRange, Known>) = expect {
        that(known.filterValues { it.revision != Revision(2) }.keys).isEmpty()
        that(known.filterValues { !it.isTargetLeaving }.keys).isEmpty()
    }

    @Test
    fun `changes confirmed as a silent store returns are in force in time`() {
        val silences = (LEAST_SILENCE..MOST_SILENCE step SILENCE_STEP)
            .map { SILENT_FROM until SILENT_FROM + it }
        expectKnown(silences.associateWith { knownAfter(it, APPLY_MILLISECONDS) })
    }

    @Test
    fun `changes are known to an entry in touch wherever in a watch the store turned silent`() {
        val silences = (SILENT_FROM..LAST_SILENT_FROM step SILENCE_STEP).flatMap { from ->
            listOf(from until from + SHORT_SILENCE, from until from + LONG_SILENCE)
        }
        expectKnown(silences.associateWith { knownAfter(it, CONTACT_MILLISECONDS) })
    }

    @Test
    fun `a silent store is asked no more often than all entries together may ask`() = runTest {
        val end = SILENT_FROM + MOST_SILENCE
        val store = OneTargetStore({ currentTime }, silent = SILENT_FROM until end)
        startWatcher(store)
        delay(end)
        val calls = store.calls.count { it >= SILENT_FROM }
        expectThat(calls.toLong() * MILLISECONDS_PER_SECOND / MOST_SILENCE)
            .isLessThan(READS_PER_SECOND / ENTRIES)
    }

    private companion object {
        const val SILENT_FROM = 1_000L
        const val LEAST_SILENCE = 100L
        const val MOST_SILENCE = 12_000L
        const val SILENCE_STEP = 50L
        const val LAST_SILENT_FROM = 3_000L
        const val SHORT_SILENCE = 100L
        const val LONG_SILENCE = 5_000L

        /** `ConfigApplyMs` and `DrainMs` of the platform. */
        const val APPLY_MILLISECONDS = 2_000L

        /** `ContactMs` of the platform. */
        const val CONTACT_MILLISECONDS = 3_000L

        /** `ReadsPerS` of the platform, and the entries of docs/CAPACITY.md. */
        const val READS_PER_SECOND = 2_000L
        const val ENTRIES = 360L
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
