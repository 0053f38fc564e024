package org.vanilladale.core.crash

import org.vanilladale.schema.CrashId
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Fingerprint
import org.vanilladale.schema.Suspect

/**
 * Crashes with one request in flight. Both sets only grow until the record expires, so merging is
 * independent of order and repetition.
 *
 * @property settledAt when reports of crashes close to the last known one have arrived here
 */
internal data class CrashRecord(
    val crashes: Set<CrashId>,
    val cleared: Set<CrashId>,
    val expiresAt: Deadline,
    val settledAt: Deadline,
) {
    /** Crashes that no completed isolated run has cleared. */
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
        /** Bounds a record's size; crashes beyond it count again only after the expiry. */
        private const val MAXIMUM_CRASHES = 64

        fun fromSuspect(suspect: Suspect, settledAt: Deadline): CrashRecord {
            val ids = lowestIds(suspect.crashes.toSet())
            val cleared = if (suspect.cleared) ids else emptySet()
            return CrashRecord(ids, cleared, suspect.expiresAt, settledAt)
        }

        /** The lowest ids of a union don't depend on the order in which it was formed. */
        private fun lowestIds(ids: Set<CrashId>): Set<CrashId> = if (ids.size <= MAXIMUM_CRASHES) {
            ids
        } else {
            ids.sortedBy(CrashId::text).take(MAXIMUM_CRASHES).toSet()
        }
    }
}
