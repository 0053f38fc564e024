package org.vanilladale.core.crash

import org.vanilladale.schema.CrashId
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.Suspect
import org.vanilladale.schema.Timestamp

/** Crash records of one shard. The caller holds the lock of the shard. */
internal class SuspectShard(
    private val maximumRecords: Int,
    private val maximumLifetimeMilliseconds: Long,
    private val settleMilliseconds: Long,
) {
    private val records = HashMap<Fingerprint, CrashRecord>()

    val size: Int get() = records.size

    /** Returns the record of [fingerprint] if it has not expired and has open crashes. */
    fun openRecordOrNull(fingerprint: Fingerprint, now: Timestamp): CrashRecord? =
        records[fingerprint]?.takeUnless { it.expiresAt.hasPassed(now) || it.open.isEmpty() }

    /** Merges [suspect] and returns true if it contained new information. */
    fun merge(suspect: Suspect, now: Timestamp): Boolean {
        if (suspect.expiresAt.hasPassed(now) || suspect.crashes.isEmpty()) return false
        val latest = now.deadlineAfter(maximumLifetimeMilliseconds)
        val received = CrashRecord.fromSuspect(suspect, now.deadlineAfter(settleMilliseconds))
            .let { it.copy(expiresAt = minOf(it.expiresAt, latest)) }
        val known = records[suspect.fingerprint]?.takeUnless { it.expiresAt.hasPassed(now) }
        val merged = known?.merge(received) ?: received
        records[suspect.fingerprint] = merged
        if (records.size > maximumRecords) evictOne()
        return known == null || merged.crashes != known.crashes || merged.cleared != known.cleared
    }

    /** Clears the crashes known so far. A later crash counts again. */
    fun clear(fingerprint: Fingerprint, now: Timestamp): Suspect? {
        val record = openRecordOrNull(fingerprint, now) ?: return null
        val open = record.open
        records[fingerprint] = record.copy(cleared = record.cleared + open)
        return Suspect(fingerprint, open.sortedBy(CrashId::text), true, record.expiresAt)
    }

    fun forgetExpired(now: Timestamp): Int {
        val before = records.size
        records.values.removeIf { it.expiresAt.hasPassed(now) }
        return before - records.size
    }

    fun suspects(now: Timestamp): List<Suspect> = records
        .filterValues { !it.expiresAt.hasPassed(now) }
        .flatMap { (fingerprint, record) -> record.toSuspects(fingerprint) }

    /**
     * Removes the record with the fewest open crashes. The loss of a record leads to at most two
     * more crashes.
     */
    private fun evictOne() {
        val leastUseful = records.entries.minWith(
            compareBy({ it.value.open.size }, { it.value.expiresAt }, { it.key.text }),
        )
        records.remove(leastUseful.key)
    }
}
