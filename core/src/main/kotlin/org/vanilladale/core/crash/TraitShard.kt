package org.vanilladale.core.crash

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp

/**
 * Suspicion of one trait.
 *
 * @property restsUntil time before which no request tries the trait
 * @property isTried whether a request tries it now
 */
internal class Suspicion(val restsUntil: Deadline, val isTried: Boolean)

/** Suspect traits of one shard. The caller holds the lock of the shard. */
internal class TraitShard {
    /** Last answer to each trait, least recently answered first. */
    private val answers = BoundedMap<RequestTrait, Timestamp>(MAX_ANSWERED_TRAITS)
    private val records = BoundedMap<RequestTrait, TraitRecord>(MAX_SUSPECT_TRAITS)

    /** Start of each trial of this entry. */
    private val trials = HashMap<RequestTrait, Timestamp>()

    /** Time until which the trials of other entries last. */
    private val peerTrials = HashMap<RequestTrait, Deadline>()

    /** Returns the suspicion of [trait], or null if it is not suspect. */
    fun suspicionOrNull(trait: RequestTrait, now: Timestamp): Suspicion? {
        val restsUntil = recordOrNull(trait, now)?.restsUntilOrNull() ?: return null
        val trialEnds = listOfNotNull(trials[trait]?.let(::endOfTrial), peerTrials[trait])
        return Suspicion(restsUntil, trialEnds.any { !it.hasPassed(now) })
    }

    /** Begins a trial if [trait] is suspect. Returns false if it is not. */
    fun beginTrial(trait: RequestTrait, now: Timestamp): Boolean {
        if (suspicionOrNull(trait, now) == null) return false
        trials[trait] = now
        return true
    }

    fun endTrial(trait: RequestTrait) {
        trials.remove(trait)
    }

    /** Returns whether [trait] is suspect now. */
    fun recordCrash(trait: RequestTrait, now: Timestamp): Boolean {
        val record = recordOf(trait, now).withCrash(now)
        records[trait] = record
        return record.restsUntilOrNull() != null
    }

    /** Returns whether [trait] was suspect before. */
    fun recordAnswer(trait: RequestTrait, now: Timestamp): Boolean {
        answers[trait] = now
        val record = recordOrNull(trait, now) ?: return false
        records[trait] = record.withAnswer(now)
        return record.restsUntilOrNull() != null
    }

    fun reports(now: Timestamp): List<SuspectTrait> {
        records.values.removeIf { it.isForgotten(now) }
        peerTrials.values.removeIf { it.hasPassed(now) }
        val news = records.filter { (trait, record) -> record.isNews(now) || trait in trials }
        return news.map { (trait, record) ->
            SuspectTrait(
                trait,
                record.crashes.map { now.millisecondsSince(it) },
                trials[trait]?.let { now.millisecondsSince(it) },
                record.answeredAt?.let { now.millisecondsSince(it) },
            )
        }
    }

    fun merge(report: SuspectTrait, now: Timestamp) {
        val trait = report.trait
        val known = recordOf(trait, now)
        val crashes = report.crashAges.filter { it >= 0 }.map { now.before(it) }
        val answeredAt = report.soundAge?.takeIf { it >= 0 }?.let { now.before(it) }
        val merged = crashes.sorted().fold(known) { record, crash -> record.withCrash(crash) }
        if (merged.crashes.isEmpty()) return
        val updated = listOfNotNull(answeredAt, answers[trait]).sorted()
            .fold(merged) { record, answer -> record.withAnswer(answer) }
        if (updated != known) peerTrials.remove(trait)
        report.trialAge?.let { peerTrials[trait] = endOfTrial(now.before(it)) }
        records[trait] = updated
    }

    private fun endOfTrial(begunAt: Timestamp) = begunAt.deadlineAfter(MAX_TRIAL_MILLISECONDS)

    private fun recordOf(trait: RequestTrait, now: Timestamp) = recordOrNull(trait, now)
        ?: TraitRecord(trait.isPart, answeredAt = answers[trait])

    private fun recordOrNull(trait: RequestTrait, now: Timestamp) =
        records[trait]?.takeUnless { it.isForgotten(now) }

    private fun Timestamp.before(milliseconds: Long) =
        Timestamp.fromEpochMilliseconds(epochMilliseconds - milliseconds)

    /** Map that drops its least recently used entry when it is full. */
    private class BoundedMap<K, V>(private val capacity: Int) :
        LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<K, V>) = size > capacity
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        /** Traits that many requests share are answered often and stay. */
        const val MAX_ANSWERED_TRAITS = 1_024
        const val MAX_SUSPECT_TRAITS = 256

        /** A first event that takes longer does not come any more. */
        const val MAX_TRIAL_MILLISECONDS = 3_000L
    }
}
