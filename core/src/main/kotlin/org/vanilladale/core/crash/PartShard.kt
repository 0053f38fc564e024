package org.vanilladale.core.crash

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.PrefixId
import org.vanilladale.schema.SuspectPart
import org.vanilladale.schema.Timestamp

/** Suspect parts of one shard. The caller holds the lock of the shard. */
internal class PartShard {
    private class Trial(val expiresAt: Deadline)

    /** Last answer to each part, least recently answered first. */
    private val answers = BoundedMap<PrefixId, Timestamp>(MAX_ANSWERED_PARTS)
    private val records = BoundedMap<PrefixId, PartRecord>(MAX_SUSPECT_PARTS)
    private val trials = HashMap<PrefixId, Trial>()

    /** Returns the time before which no request with [part] may begin, or null if one may. */
    fun waitOrNull(part: PrefixId, now: Timestamp): Deadline? {
        val record = recordOrNull(part, now) ?: return null
        val restsUntil = record.restsUntilOrNull() ?: return null
        if (!restsUntil.hasPassed(now)) return restsUntil
        return trials[part]?.expiresAt?.takeUnless { it.hasPassed(now) }
            ?.let { now.deadlineAfter(PartRecord.INCIDENT_MILLISECONDS) }
    }

    /** Begins a trial if [part] is suspect. Returns false if it is not. */
    fun beginTrial(part: PrefixId, now: Timestamp): Boolean {
        if (recordOrNull(part, now)?.restsUntilOrNull() == null) return false
        trials[part] = Trial(now.deadlineAfter(MAX_TRIAL_MILLISECONDS))
        return true
    }

    fun endTrial(part: PrefixId) {
        trials.remove(part)
    }

    /** Returns whether [part] is suspect now. */
    fun recordCrash(part: PrefixId, now: Timestamp): Boolean {
        val record = (recordOrNull(part, now) ?: PartRecord(answeredAt = answers[part]))
            .withCrash(now)
        records[part] = record
        return record.restsUntilOrNull() != null
    }

    /** Returns whether [part] was suspect before. */
    fun recordAnswer(part: PrefixId, now: Timestamp): Boolean {
        answers[part] = now
        val record = recordOrNull(part, now) ?: return false
        records[part] = record.withAnswer(now)
        return record.restsUntilOrNull() != null
    }

    fun reports(now: Timestamp): List<SuspectPart> {
        records.values.removeIf { it.isForgotten(now) }
        return records.filterValues { it.isNews(now) }.map { (part, record) ->
            SuspectPart(
                part,
                record.crashes.map { now.millisecondsSince(it) },
                record.answeredAt?.let { now.millisecondsSince(it) },
            )
        }
    }

    fun merge(report: SuspectPart, now: Timestamp) {
        val part = report.part
        val known = recordOrNull(part, now) ?: PartRecord(answeredAt = answers[part])
        val crashes = report.crashAges.filter { it >= 0 }.map { now.before(it) }
        val answeredAt = report.soundAge?.takeIf { it >= 0 }?.let { now.before(it) }
        val merged = crashes.sorted().fold(known) { record, crash -> record.withCrash(crash) }
        if (merged.crashes.isEmpty()) return
        records[part] = listOfNotNull(answeredAt, answers[part]).sorted()
            .fold(merged) { record, answer -> record.withAnswer(answer) }
    }

    private fun recordOrNull(part: PrefixId, now: Timestamp) =
        records[part]?.takeUnless { it.isForgotten(now) }

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

        /** Parts that many prompts share are answered often and stay. */
        const val MAX_ANSWERED_PARTS = 1_024
        const val MAX_SUSPECT_PARTS = 256

        /** A first event that takes longer does not come any more. */
        const val MAX_TRIAL_MILLISECONDS = 3_000L
    }
}
