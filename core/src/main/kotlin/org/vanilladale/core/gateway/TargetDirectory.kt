package org.vanilladale.core.gateway

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.GroupId
import org.vanilladale.schema.PoolName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/**
 * Targets that the platform lists. Keep it under a lock.
 *
 * An entry that is missing from a list read right after an outage of the store stays usable for
 * [graceMilliseconds]: the store drops entries while it is away, and a live target is listed again
 * within that time. In all other cases a missing entry means that the target has gone.
 */
public class TargetDirectory(private val graceMilliseconds: Long = DEFAULT_GRACE_MILLISECONDS) {
    private val listed = LinkedHashMap<TargetId, KnownTarget>()
    private val missingUntil = HashMap<TargetId, Deadline>()

    /** Number of targets that are listed or within their grace. */
    public val size: Int get() = listed.size

    /** Requests that all targets run at a time. */
    public val slots: Int get() = listed.values.sumOf { it.slots }

    /** What a whole list changed: targets that are [gone] and targets that were [changed]. */
    public data class Difference(val gone: List<TargetId>, val changed: List<KnownTarget>)

    /** Takes the whole list; [afterOutage] when the store could not be read right before. */
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

    /** Drops the entry of [id] at [deadline], unless it is listed again before. */
    public fun expireAt(id: TargetId, deadline: Deadline) {
        if (id in listed) missingUntil.putIfAbsent(id, deadline)
    }

    /** Takes a new or changed entry. */
    public fun put(target: KnownTarget) {
        listed[target.id] = target
        missingUntil.remove(target.id)
    }

    /** Drops the entry of a target that has gone. */
    public fun remove(id: TargetId) {
        listed.remove(id)
        missingUntil.remove(id)
    }

    /** Returns the targets of [pool] that are not leaving. */
    public fun usable(pool: PoolName, now: Timestamp): List<KnownTarget> {
        missingUntil.filterValues { it.hasPassed(now) }.keys.toList().forEach(::remove)
        return listed.values.filter { it.pool == pool && !it.leaving }
    }

    /** Returns the open groups of [pool] whose ranks are all listed, in the order of the ranks. */
    public fun openGroups(pool: PoolName): Map<GroupId, List<KnownTarget>> = listed.values
        .filter { it.pool == pool && it.seat?.isOpen == true }
        .groupBy { it.seat?.group }
        .mapNotNull { (group, members) ->
            val ranks = members.sortedBy { it.seat?.rank }
            val isWhole = ranks.map { it.seat?.rank?.value } == (0 until ranks.size).toList() &&
                ranks.all { it.seat?.size == ranks.size } &&
                ranks.distinctBy { it.seat?.epoch }.size == 1
            if (group != null && isWhole) group to ranks else null
        }
        .toMap()

    /** Returns the entry of [id], or null when it isn't listed. */
    public fun targetOrNull(id: TargetId): KnownTarget? = listed[id]

    public companion object {
        /** A live target is listed again within about two seconds of the return of the store. */
        public const val DEFAULT_GRACE_MILLISECONDS: Long = 2_000
    }
}
