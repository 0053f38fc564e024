package org.vanilladale.core.crash

import java.util.PriorityQueue
import kotlin.random.Random
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.Timestamp
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against a part of prompts that crashes one target after the other, at any entry. */
class CrashingTraitFleetTest {
    /** Entries that exchange reports with a delay, and requests at random ones of them. */
    private class Fleet(private val random: Random) {
        private class Event(val at: Long, val run: (Long) -> Unit)

        private val entries = List(ENTRIES) { TraitSuspects() }
        private val events = PriorityQueue<Event>(compareBy { it.at })
        val crashes = ArrayList<Long>()
        val deadlySends = ArrayList<Long>()
        var soundRequests = 0
            private set
        var soundSends = 0
            private set

        fun run(deadlyPerSecond: Double, soundPerSecond: Double, hadAnswersBefore: Boolean) {
            val deadlyFrom = if (hadAnswersBefore) SECONDS * 500L else 0L
            arrivals(soundPerSecond) { at -> request(at, listOf(FIRST, RARE.random(random))) }
            arrivals(deadlyPerSecond) { at -> request(at, listOf(FIRST, DEADLY), deadlyFrom) }
            while (events.isNotEmpty()) events.poll().let { it.run(it.at) }
        }

        private fun arrivals(perSecond: Double, arrive: (Long) -> Unit) {
            repeat((perSecond * SECONDS).toInt()) {
                events += Event(random.nextLong(SECONDS * 1_000L), arrive)
            }
        }

        private fun request(
            at: Long,
            parts: List<RequestTrait>,
            deadlyFrom: Long = Long.MAX_VALUE,
        ) {
            val isSound = DEADLY !in parts
            if (isSound) soundRequests++
            val entry = entries.random(random)
            val tried = entry.begin(parts, timestamp(at)).getOrNull() ?: return
            if (tried.isNotEmpty()) report(entry, at)
            val isDeadly = at >= deadlyFrom
            if (isSound) soundSends++
            if (isDeadly) deadlySends += at
            events += Event(at + random.nextLong(150, 400)) { now ->
                if (isDeadly) {
                    crashes += now
                    entry.recordCrash(parts, timestamp(now))
                } else {
                    entry.recordAnswer(parts, timestamp(now))
                }
                entry.end(tried)
                report(entry, now)
            }
        }

        private fun report(from: TraitSuspects, now: Long) {
            val reports = from.reports(timestamp(now))
            entries.filter { it !== from }.forEach { entry ->
                val arrivesAt = now + random.nextLong(1, MAX_DELAY_MILLISECONDS)
                events += Event(arrivesAt) { entry.merge(reports, timestamp(it)) }
            }
        }

        private fun timestamp(milliseconds: Long) = Timestamp.fromEpochMilliseconds(milliseconds)
    }

    @ParameterizedTest
    @CsvSource("1.2, 24, false", "7, 17, false", "1.2, 24, true", "0.3, 2, false", "3, 600, false")
    fun `a deadly part reaches few targets and sound requests beside it are served`(
        deadlyPerSecond: Double,
        soundPerSecond: Double,
        hadAnswersBefore: Boolean,
    ) {
        repeat(SEEDS) { seed ->
            val fleet = Fleet(Random(seed))
            fleet.run(deadlyPerSecond, soundPerSecond, hadAnswersBefore)
            val fifth = fleet.crashes.getOrNull(4) ?: Long.MAX_VALUE - CONTACT_MILLISECONDS
            val late = fleet.deadlySends.count { it > fifth + CONTACT_MILLISECONDS }
            expectThat(late).describedAs("late sends, seed $seed").isLessThanOrEqualTo(3)
            expectThat(fleet.soundSends * 2).describedAs("sound sends, seed $seed")
                .isGreaterThan(fleet.soundRequests)
        }
    }

    private companion object {
        const val SEEDS = 50
        const val ENTRIES = 21
        const val SECONDS = 22
        const val MAX_DELAY_MILLISECONDS = 60L

        /** Time of the platform from the fifth crash until further requests count. */
        const val CONTACT_MILLISECONDS = 3_000L
        val FIRST = RequestTrait.ofPart(PrefixId.parse("first"))
        val DEADLY = RequestTrait.ofPart(PrefixId.parse("deadly"))
        val RARE = List(20) { RequestTrait.ofPart(PrefixId.parse("rare-$it")) }
    }
}
