package org.vanilladale.core.crash

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.RequestTrait
import org.vanilladale.schema.SuspectTrait
import org.vanilladale.schema.Timestamp

/** Suspect traits of one shard. The caller holds the lock of the shard. */
internal class TraitShard {
    private class Trial(val expiresAt: Deadline)

    /** Last answer to each trait, least recently answered first. */
    private val answers = BoundedMap<RequestTrait, Timestamp>(MAX_ANSWERED_TRAITS)
    private val records = BoundedMap<RequestTrait, TraitRecord>(MAX_SUSPECT_TRAITS)
    private val trials = HashMap<RequestTrait, Trial>()

    /** Returns the time before which no request with [trait] may begin, or null if one may. */
    fun waitOrNull(trait: RequestTrait, now: Timestamp): Deadline? {
        val record = recordOrNull(trait, now) ?: return null
        val restsUntil = record.restsUntilOrNull() ?: return null
        if (!restsUntil.hasPassed(now)) return restsUntil
        return trials[trait]?.expiresAt?.takeUnless { it.hasPassed(now) }
            ?.let { now.deadlineAfter(TraitRecord.INCIDENT_MILLISECONDS) }
    }

    /** Begins a trial if [trait] is suspect. Returns false if it is not. */
    fun beginTrial(trait: RequestTrait, now: Timestamp): Boolean {
        if (recordOrNull(trait, now)?.restsUntilOrNull() == null) return false
        trials[trait] = Trial(now.deadlineAfter(MAX_TRIAL_MILLISECONDS))
        return true
    }

    fun endTrial(trait: RequestTrait) {
        trials.remove(trait)
    }

    /** Returns whether [trait] is suspect now. */
    fun recordCrash(trait: RequestTrait, now: Timestamp): Boolean {
        val record = (recordOrNull(trait, now) ?: TraitRecord(answeredAt = answers[trait]))
            .withCrash(now)
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
        return records.filterValues { it.isNews(now) }.map { (trait, record) ->
            SuspectTrait(
                trait,
                record.crashes.map { now.millisecondsSince(it) },
                record.answeredAt?.let { now.millisecondsSince(it) },
            )
        }
    }

    fun merge(report: SuspectTrait, now: Timestamp) {
        val trait = report.trait
        val known = recordOrNull(trait, now) ?: TraitRecord(answeredAt = answers[trait])
        val crashes = report.crashAges.filter { it >= 0 }.map { now.before(it) }
        val answeredAt = report.soundAge?.takeIf { it >= 0 }?.let { now.before(it) }
        val merged = crashes.sorted().fold(known) { record, crash -> record.withCrash(crash) }
        if (merged.crashes.isEmpty()) return
        records[trait] = listOfNotNull(answeredAt, answers[trait]).sorted()
            .fold(merged) { record, answer -> record.withAnswer(answer) }
    }

    private fun recordOrNull(trait: RequestTrait, now: Timestamp) =
        records[trait]?.takeUnless { it.isForgotten(now) }

    private fun Timestamp.before(milliseconds: Long) =
        Timestamp.fromEpochMilliseconds(epochMilliseconds - milliseconds)

    /** Map that drops the entry that was written first when it is full. */
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
