package org.vanilladale.core.routing

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Load
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Whether new work may go to a target. */
public enum class TargetState {
    /** Takes new work. */
    READY,

    /** Takes new work only while no target is ready. */
    SLOW,

    /** Takes no new work. */
    UNAVAILABLE,
}

/**
 * What one entry knows of the load and state of the targets of a pool. Keep it under a lock.
 *
 * The load of a target is the own requests in flight plus the reported requests of others; the
 * latter count less with the age of the report, and nothing from [reportLifetimeMilliseconds] on.
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

    /** Number of targets with state. */
    public val size: Int get() = records.size

    /** Counts a request that was sent to [target]. */
    public fun started(target: TargetId) {
        record(target).inFlight++
    }

    /** Uncounts a request of [target] that ended in any way. */
    public fun finished(target: TargetId) {
        records[target]?.let { it.inFlight = (it.inFlight - 1).coerceAtLeast(0) }
    }

    /** Returns the own requests in flight at [target]. */
    public fun inFlight(target: TargetId): Int = records[target]?.inFlight ?: 0

    /** Takes a report; one that is older than the stored report changes nothing. */
    public fun reported(target: TargetId, load: Load, receivedAt: Timestamp) {
        val record = record(target)
        val stored = record.load
        if (stored != null && load.reportedAt < stored.reportedAt) return
        record.reportAge.observe(load.reportedAt, receivedAt)
        record.load = load
        record.othersAtReport = (load.running + load.waiting - record.inFlight).coerceAtLeast(0)
    }

    /** Returns the last report of [target], or null while there is none or it is too old. */
    public fun reportOrNull(target: TargetId, now: Timestamp): Load? =
        records[target]?.let { record -> record.load?.takeIf { weight(record, it, now) > 0.0 } }

    /** Returns the last report of [target] of any age. */
    public fun lastReportOrNull(target: TargetId): Load? = records[target]?.load

    /** Returns the time on the own clock at which [target] stamped something [remoteTime]. */
    public fun localTimeOf(target: TargetId, remoteTime: Timestamp, now: Timestamp): Timestamp {
        val age = records[target]?.reportAge?.ageOf(remoteTime, now) ?: 0
        return Timestamp.fromEpochMilliseconds(now.epochMilliseconds - age)
    }

    /** Returns the discounted load of [target] in requests. */
    public fun loadOf(target: TargetId, now: Timestamp): Double {
        val record = records[target] ?: return 0.0
        val report = record.load ?: return record.inFlight.toDouble()
        return record.inFlight + record.othersAtReport * weight(record, report, now)
    }

    /** Marks [target] as slow until [until], as when a rank of its group stalls. */
    public fun markSlow(target: TargetId, until: Deadline) {
        record(target).slowUntil = until
    }

    /** Takes the slow mark of [target] back unless it is another one than that until [until]. */
    public fun clearSlow(target: TargetId, until: Deadline) {
        records[target]?.let { if (it.slowUntil == until) it.slowUntil = null }
    }

    /** Gives [target] no work until [until], as after a failed connection. */
    public fun markUnavailable(target: TargetId, until: Deadline) {
        record(target).unavailableUntil = until
    }

    /** Takes the unavailable mark back. */
    public fun clearUnavailable(target: TargetId) {
        records[target]?.unavailableUntil = null
    }

    /** Gives [target] no work from [leavingAt] on; only [forget] ends it. */
    public fun markLeaving(target: TargetId, leavingAt: Deadline) {
        record(target).leavingAt = leavingAt
    }

    /** Returns true from the announcement on, also before the target refuses new work. */
    public fun isLeaving(target: TargetId): Boolean = records[target]?.leavingAt != null

    /** Drops the state of [target], as after a new incarnation or removal from the pool. */
    public fun forget(target: TargetId) {
        records.remove(target)
    }

    /** Returns whether [target] may get new work at [now]; an unknown target is ready. */
    public fun stateOf(target: TargetId, now: Timestamp): TargetState {
        val record = records[target] ?: return TargetState.READY
        val leaving = record.leavingAt?.hasPassed(now) == true
        val unavailable = record.unavailableUntil?.hasPassed(now) == false
        // Agents report changes of these three at once, so the last report holds whatever its age.
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
        /** Age from which a report says nothing; see docs/measurements-routing.md. */
        public const val DEFAULT_REPORT_LIFETIME_MILLISECONDS: Long = 2_000
    }
}
