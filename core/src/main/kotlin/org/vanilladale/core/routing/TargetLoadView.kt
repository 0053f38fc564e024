package org.vanilladale.core.routing

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Whether a target may get new requests. */
public enum class TargetState {
    /** Gets new requests. */
    READY,

    /** Gets new requests only while no target is ready. */
    SLOW,

    /** Gets no new requests. */
    UNAVAILABLE,
}

/**
 * Load and state of the targets of a pool, as known to one entry. Not thread-safe: callers hold a
 * lock.
 *
 * The load of a target is the number of this entry's requests in flight plus the reported requests
 * of other entries. The weight of the latter decreases linearly with the age of the report and is
 * zero from [reportLifetimeMilliseconds] on.
 */
public class TargetLoadView(
    private val reportLifetimeMilliseconds: Long = DEFAULT_REPORT_LIFETIME_MILLISECONDS,
) {
    private class TargetRecord {
        var inFlight = 0
        var load: Load? = null
        var othersAtReport = 0
        val reportAge = ReportAgeEstimator()
        var slowUntil: Deadline? = null
        var unavailableUntil: Deadline? = null
        var leavingAt: Deadline? = null
    }

    private val records = HashMap<TargetId, TargetRecord>()

    /** Number of targets whose load or state is stored. */
    public val size: Int get() = records.size

    /** Counts a request that was sent to [target]. */
    public fun started(target: TargetId) {
        record(target).inFlight++
    }

    /** Stops counting a request to [target] that ended in any way. */
    public fun finished(target: TargetId) {
        records[target]?.let { it.inFlight = (it.inFlight - 1).coerceAtLeast(0) }
    }

    /** Returns the number of this entry's requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = records[target]?.inFlight ?: 0

    /** Stores a report, unless it is older than the stored one. */
    public fun reported(target: TargetId, load: Load, receivedAt: Timestamp) {
        val record = record(target)
        val stored = record.load
        if (stored != null && load.reportedAt < stored.reportedAt) return
        record.reportAge.observe(load.reportedAt, receivedAt)
        record.load = load
        record.othersAtReport = (load.running + load.waiting - record.inFlight).coerceAtLeast(0)
    }

    /** Returns the last report of [target], or null if there is none or it is too old. */
    public fun reportOrNull(target: TargetId, now: Timestamp): Load? =
        records[target]?.let { record -> record.load?.takeIf { weight(record, it, now) > 0.0 } }

    /** Returns the last report of [target] regardless of its age, or null if there is none. */
    public fun lastReportOrNull(target: TargetId): Load? = records[target]?.load

    /** Converts [remoteTime], a time on the clock of [target], to the local clock. */
    public fun localTimeOf(target: TargetId, remoteTime: Timestamp, now: Timestamp): Timestamp {
        val age = records[target]?.reportAge?.ageOf(remoteTime, now) ?: 0
        return Timestamp.fromEpochMilliseconds(now.epochMilliseconds - age)
    }

    /** Returns the load of [target] in requests, with its report weighted by age. */
    public fun loadOf(target: TargetId, now: Timestamp): Double {
        val record = records[target] ?: return 0.0
        val report = record.load ?: return record.inFlight.toDouble()
        return record.inFlight + record.othersAtReport * weight(record, report, now)
    }

    /** Marks [target] as slow until [until], for example when a rank of its group stalls. */
    public fun markSlow(target: TargetId, until: Deadline) {
        record(target).slowUntil = until
    }

    /** Clears the slow mark of [target] if it is the one that lasts until [until]. */
    public fun clearSlow(target: TargetId, until: Deadline) {
        records[target]?.let { if (it.slowUntil == until) it.slowUntil = null }
    }

    /** Excludes [target] from new requests until [until], for example after a failed connection. */
    public fun markUnavailable(target: TargetId, until: Deadline) {
        record(target).unavailableUntil = until
    }

    /** Clears the unavailable mark of [target]. */
    public fun clearUnavailable(target: TargetId) {
        records[target]?.unavailableUntil = null
    }

    /** Excludes [target] from new requests from [leavingAt] on. Only [forget] reverts this. */
    public fun markLeaving(target: TargetId, leavingAt: Deadline) {
        record(target).leavingAt = leavingAt
    }

    /**
     * Returns true once [target] has announced that it is leaving, even if it still takes requests.
     */
    public fun isLeaving(target: TargetId): Boolean = records[target]?.leavingAt != null

    /** Removes the state of [target], for example after its restart or removal from the pool. */
    public fun forget(target: TargetId) {
        records.remove(target)
    }

    /** Returns whether [target] may get new requests at [now]. An unknown target is ready. */
    public fun stateOf(target: TargetId, now: Timestamp): TargetState {
        val record = records[target] ?: return TargetState.READY
        val leaving = record.leavingAt?.hasPassed(now) == true
        val unavailable = record.unavailableUntil?.hasPassed(now) == false
        // Agents report changes of these fields immediately, so a report of any age is valid.
        val unhealthy = record.load?.healthy == false || record.load?.loading == true
        val reportedSlow = record.load?.slow == true
        return when {
            leaving || unavailable || unhealthy -> TargetState.UNAVAILABLE
            reportedSlow || record.slowUntil?.hasPassed(now) == false -> TargetState.SLOW
            else -> TargetState.READY
        }
    }

    private fun weight(record: TargetRecord, report: Load, now: Timestamp): Double {
        val age = record.reportAge.ageOf(report.reportedAt, now)
        return (1.0 - age.toDouble() / reportLifetimeMilliseconds).coerceIn(0.0, 1.0)
    }

    private fun record(target: TargetId): TargetRecord = records.getOrPut(target) { TargetRecord() }

    public companion object {
        /** Age from which a report has no weight; see docs/measurements-routing.md. */
        public const val DEFAULT_REPORT_LIFETIME_MILLISECONDS: Long = 2_000
    }
}
