package org.vanilladale.core.gateway

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.Timestamp

/**
 * Data centres whose targets get no requests because the operator evacuates them. Not thread-safe;
 * callers synchronize access.
 *
 * An evacuation stays in force until the store shows that the operator has cancelled it, also while
 * the store can't be read.
 */
public class Evacuations {
    private val active = LinkedHashSet<DataCentreName>()
    private val ends = HashMap<DataCentreName, Timestamp>()

    /** Data centres that are evacuated now. */
    public val dataCentres: Set<DataCentreName> get() = active

    /** Evacuations that began or ended with a change. */
    public data class Difference(val began: Set<DataCentreName>, val ended: Set<DataCentreName>)

    /** Replaces all evacuations by [dataCentres]. */
    public fun replaceAll(dataCentres: Set<DataCentreName>, now: Timestamp): Difference {
        val began = dataCentres.filterTo(LinkedHashSet()) { begin(it) }
        val ended = (active - dataCentres).filterTo(LinkedHashSet()) { end(it, now) }
        return Difference(began, ended)
    }

    /** Begins the evacuation of [dataCentre]. Returns false if it had begun already. */
    public fun begin(dataCentre: DataCentreName): Boolean = active.add(dataCentre)

    /** Ends the evacuation of [dataCentre]. Returns false if there was none. */
    public fun end(dataCentre: DataCentreName, now: Timestamp): Boolean {
        val wasActive = active.remove(dataCentre)
        if (wasActive) ends[dataCentre] = now
        return wasActive
    }

    /** Returns whether [target] is in a data centre that is evacuated. */
    public fun covers(target: KnownTarget): Boolean =
        target.dataCentre != null && target.dataCentre in active

    /** Returns when the latest evacuation of the data centre of [target] ended, or null. */
    public fun endOrNull(target: KnownTarget): Timestamp? = target.dataCentre?.let(ends::get)
}
