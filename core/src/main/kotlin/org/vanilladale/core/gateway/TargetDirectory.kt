package org.vanilladale.core.gateway

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Revision
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Targets that the platform lists. Not thread-safe; callers synchronize access.
 *
 * A target that is missing from a list read right after an outage of the store stays usable for
 * [graceMilliseconds]: the store drops registrations during an outage, and a live target registers
 * again within that time. In all other cases a target that is missing from a list is gone.
 */
public class TargetDirectory(private val graceMilliseconds: Long = DEFAULT_GRACE_MILLISECONDS) {
    private val listed = LinkedHashMap<TargetId, KnownTarget>()
    private val missingUntil = HashMap<TargetId, Deadline>()
    private val statements = TargetStatements()
    private val departures = TargetDepartures()

    /** Evacuated data centres, whose targets are not usable. */
    public val evacuations: Evacuations = Evacuations()

    /** Number of targets that are listed or within their grace period. */
    public val size: Int get() = listed.size

    /** Number of requests that all targets together run at a time. */
    public val slots: Int get() = listed.values.sumOf { it.slots }

    /** Targets that are not leaving and not in an evacuated data centre. */
    public val placeable: List<KnownTarget> get() = listed.values.filter(::isPlaceable)

    /**
     * Difference between two lists: targets that are [gone], and targets that are new or [changed].
     */
    public data class Difference(val gone: List<TargetId>, val changed: List<KnownTarget>)

    /**
     * Replaces all targets by the complete list [targets].
     *
     * @param afterOutage whether the store could not be read right before this list
     */
    public fun replaceAll(
        targets: List<KnownTarget>,
        afterOutage: Boolean,
        now: Timestamp,
    ): Difference {
        val ids = targets.mapTo(HashSet()) { it.id }
        val missing = listed.keys.filter { it !in ids }
        missing.forEach { id ->
            if (afterOutage) expireAt(id, now.deadlineAfter(graceMilliseconds)) else remove(id)
        }
        val changed = targets.filter { listed[it.id] != it }
        targets.forEach(::put)
        return Difference(if (afterOutage) emptyList() else missing, changed)
    }

    /** Removes the target [id] at [deadline] unless it is listed again before then. */
    public fun expireAt(id: TargetId, deadline: Deadline) {
        if (id in listed) missingUntil.putIfAbsent(id, deadline)
    }

    /** Adds or updates [target]. */
    public fun put(target: KnownTarget) {
        listed[target.id] = target
        departures.recordListed(target)
        missingUntil.remove(target.id)
    }

    /** Removes the target [id]. */
    public fun remove(id: TargetId) {
        listed.remove(id)?.let(departures::recordGone)
        missingUntil.remove(id)
        statements.targetRemoved(id)
    }

    /**
     * Records that the store was restored from an older copy and first read at [revision] after
     * that. What was known to be leaving, gone or evacuated stays so.
     */
    public fun storeRestored(revision: Revision, now: Timestamp) {
        departures.storeRestored(revision)
        evacuations.storeRestored(now)
    }

    /**
     * Returns what is known of a target after its [record] was read: the record itself, or the
     * target as it was listed while leaving if the record is older than that, or null if the record
     * is older than the removal of the target or than its present lifetime.
     *
     * @param revision revision of the record; null if it was delivered as a change
     */
    public fun acknowledgedOrNull(record: KnownTarget, revision: Revision?): KnownTarget? {
        val known = listed[record.id]
        return when {
            departures.isStale(record, revision) -> known?.takeIf { it.leaving }

            departures.isCopied(revision) &&
                TargetDepartures.isLater(known?.startedAt, record.startedAt) -> null

            else -> record
        }
    }

    /** Returns the number of targets that differ from the complete list [targets]. */
    public fun countDifferences(targets: List<KnownTarget>): Int {
        val ids = targets.mapTo(HashSet()) { it.id }
        return listed.keys.count { it !in ids } + targets.count { listed[it.id] != it }
    }

    /** Removes expired targets and returns the targets of [pool] that take requests at [now]. */
    public fun usable(pool: PoolName, now: Timestamp): List<KnownTarget> {
        missingUntil.filterValues { it.hasPassed(now) }.keys.toList().forEach(::remove)
        return listed.values.filter {
            it.pool == pool && isPlaceable(it) && statements.pauseEndOrNull(it, now) == null
        }
    }

    /**
     * Returns the time at which the first pause of a target of [pool] ends if all its targets ask
     * for time, or else null.
     */
    public fun pauseEndOrNull(pool: PoolName, now: Timestamp): Deadline? {
        val ends = listed.values.filter { it.pool == pool && isPlaceable(it) }
            .map { statements.pauseEndOrNull(it, now) ?: return null }
        return ends.minOrNull()
    }

    /** Returns whether [pool] has targets and all that are not leaving are evacuated. */
    public fun isEvacuated(pool: PoolName): Boolean {
        if (evacuations.dataCentres.isEmpty()) return false
        val staying = listed.values.filter { it.pool == pool && !isLeaving(it) }
        return staying.isNotEmpty() && staying.all(evacuations::covers)
    }

    /** Returns the targets in [dataCentre]. */
    public fun targetsIn(dataCentre: DataCentreName): List<KnownTarget> =
        listed.values.filter { it.dataCentre == dataCentre }

    /** Records that [target] says that it is leaving. Returns whether that is new. */
    public fun recordLeaving(target: KnownTarget): Boolean = statements.recordLeaving(target)

    /** Records that [target] wants no requests until [end]. */
    public fun recordPause(target: KnownTarget, end: Deadline): Unit =
        statements.recordPause(target, end)

    /** Records an answer of [target] without such a wish. */
    public fun recordAnswer(target: KnownTarget, now: Timestamp): Unit =
        statements.recordAnswer(target, now)

    /** Returns whether a pause of [target] ended a short time ago without an answer since. */
    public fun isRecovering(target: KnownTarget, now: Timestamp): Boolean =
        statements.isRecovering(target, now)

    private fun isPlaceable(target: KnownTarget) = !isLeaving(target) && !evacuations.covers(target)

    private fun isLeaving(target: KnownTarget) = target.leaving || statements.isLeaving(target)

    /**
     * Returns the targets of each open group of [pool], ordered by rank. Groups with missing ranks
     * or with ranks of different epochs are left out, and so are groups that are evacuated as a
     * whole, because they get no requests.
     */
    public fun openGroups(pool: PoolName): Map<GroupId, List<KnownTarget>> = listed.values
        .filter { it.pool == pool && it.seat?.isOpen == true }
        .groupBy { it.seat?.group }
        .mapNotNull { (group, members) ->
            val ranks = members.sortedBy { it.seat?.rank }
            val isWhole = ranks.map { it.seat?.rank?.value } == (0 until ranks.size).toList() &&
                ranks.all { it.seat?.size == ranks.size } &&
                ranks.distinctBy { it.seat?.epoch }.size == 1
            val isUsed = !ranks.all(evacuations::covers)
            if (group != null && isWhole && isUsed) group to ranks else null
        }
        .toMap()

    /** Returns the target [id], or null if it is not listed. */
    public fun targetOrNull(id: TargetId): KnownTarget? = listed[id]

    public companion object {
        /**
         * Default grace period. A live target registers again within about two seconds after an
         * outage of the store.
         */
        public const val DEFAULT_GRACE_MILLISECONDS: Long = 2_000
    }
}
