package org.vanilladale.core.crash

import org.vanilladale.schema.CrashId
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.Suspect

/**
 * Crashes during which one request was in flight. Both sets only grow until the record expires, so
 * the result of merging is independent of order and repetition.
 *
 * @property settledAt time by which reports of crashes close to the last known one have arrived
 */
internal data class CrashRecord(
    val crashes: Set<CrashId>,
    val cleared: Set<CrashId>,
    val expiresAt: Deadline,
    val settledAt: Deadline,
) {
    /** Crashes that were not cleared by a completed isolated run. */
    val open: Set<CrashId> get() = crashes - cleared

    fun merge(other: CrashRecord): CrashRecord = CrashRecord(
        lowestIds(crashes + other.crashes),
        lowestIds(cleared + other.cleared),
        maxOf(expiresAt, other.expiresAt),
        if (crashes.containsAll(other.crashes)) settledAt else maxOf(settledAt, other.settledAt),
    )

    fun toSuspects(fingerprint: Fingerprint): List<Suspect> = listOfNotNull(
        suspectOrNull(fingerprint, open, isCleared = false),
        suspectOrNull(fingerprint, cleared, isCleared = true),
    )

    private fun suspectOrNull(fingerprint: Fingerprint, ids: Set<CrashId>, isCleared: Boolean) =
        ids.takeIf { it.isNotEmpty() }
            ?.let { Suspect(fingerprint, it.sortedBy(CrashId::text), isCleared, expiresAt) }

    companion object {
        /**
         * Maximum number of crashes in a record. Further crashes are not counted until the record
         * expires.
         */
        private const val MAXIMUM_CRASHES = 64

        fun fromSuspect(suspect: Suspect, settledAt: Deadline): CrashRecord {
            val ids = lowestIds(suspect.crashes.toSet())
            val cleared = if (suspect.cleared) ids else emptySet()
            return CrashRecord(ids, cleared, suspect.expiresAt, settledAt)
        }

        /** Keeps the lowest ids, which don't depend on the order in which sets were merged. */
        private fun lowestIds(ids: Set<CrashId>): Set<CrashId> = if (ids.size <= MAXIMUM_CRASHES) {
            ids
        } else {
            ids.sortedBy(CrashId::text).take(MAXIMUM_CRASHES).toSet()
        }
    }
}
