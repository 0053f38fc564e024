package org.vanilladale.core.gateway

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/**
 * Data centres whose targets get no requests because the operator evacuates them. Not thread-safe;
 * callers synchronize access.
 *
 * An evacuation stays in force until the store shows that the operator has cancelled it, also while
 * the store can't be read. If the store is restored from an older copy that lacks the evacuation,
 * it stays in force until a change cancels it, or for [HOLD_MILLISECONDS] without one.
 */
public class Evacuations {
    private val active = LinkedHashSet<DataCentreName>()
    private val ends = HashMap<DataCentreName, Timestamp>()
    private val heldUntil = HashMap<DataCentreName, Deadline>()

    /** Data centres that are evacuated now. */
    public val dataCentres: Set<DataCentreName> get() = active

    /** Evacuations that began or ended with a change. */
    public data class Difference(val began: Set<DataCentreName>, val ended: Set<DataCentreName>)

    /** Replaces all evacuations by [dataCentres]. */
    public fun replaceAll(dataCentres: Set<DataCentreName>, now: Timestamp): Difference {
        val began = dataCentres.filterTo(LinkedHashSet()) { begin(it) }
        val ended = (active - dataCentres)
            .filterTo(LinkedHashSet()) { heldUntil[it]?.hasPassed(now) != false && end(it, now) }
        return Difference(began, ended)
    }

    /** Begins the evacuation of [dataCentre]. Returns false if it had begun already. */
    public fun begin(dataCentre: DataCentreName): Boolean {
        heldUntil.remove(dataCentre)
        return active.add(dataCentre)
    }

    /** Holds the evacuations in force, because the store was restored from an older copy. */
    public fun storeRestored(now: Timestamp) {
        active.forEach { heldUntil[it] = now.deadlineAfter(HOLD_MILLISECONDS) }
    }

    /** Ends the evacuations that were held for [HOLD_MILLISECONDS] and returns them. */
    public fun endHeld(now: Timestamp): List<DataCentreName> =
        heldUntil.filterValues { it.hasPassed(now) }.keys.filter { end(it, now) }

    /** Ends the evacuation of [dataCentre]. Returns false if there was none. */
    public fun end(dataCentre: DataCentreName, now: Timestamp): Boolean {
        heldUntil.remove(dataCentre)
        val wasActive = active.remove(dataCentre)
        if (wasActive) ends[dataCentre] = now
        return wasActive
    }

    /** Returns whether [target] is in a data centre that is evacuated. */
    public fun covers(target: KnownTarget): Boolean =
        target.dataCentre != null && target.dataCentre in active

    /** Returns when the latest evacuation of the data centre of [target] ended, or null. */
    public fun endOrNull(target: KnownTarget): Timestamp? = target.dataCentre?.let(ends::get)

    public companion object {
        /** Time in which an operator whose write was lost is expected to write it again. */
        public const val HOLD_MILLISECONDS: Long = 10_000
    }
}
