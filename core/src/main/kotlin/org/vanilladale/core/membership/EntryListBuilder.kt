package org.vanilladale.core.membership

import kotlin.random.Random
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.EntryAddress
import org.vanilladale.schema.EntryList
import org.vanilladale.schema.EntryStatus
import org.vanilladale.schema.Timestamp

private const val MAX_ENTRIES = 16
private const val MIN_REMOTE_ENTRIES = 4

/**
 * Builds the lists of entries that callers receive.
 *
 * @param keepMilliseconds time for which a caller may use the list
 */
public class EntryListBuilder(private val random: Random, private val keepMilliseconds: Long) {
    /**
     * Returns live entries in a new random order, starting with those in the data centre [caller].
     * If not all entries fit, at least [MIN_REMOTE_ENTRIES] of the list, or all if there are fewer,
     * are in other data centres, so that a caller can continue after the loss of its data centre.
     *
     * Without live entries, the list contains the suspected ones. This entry itself counts as live
     * unless it is leaving, so the list is not empty until then.
     */
    public fun build(directory: EntryDirectory, caller: DataCentreName, now: Timestamp): EntryList {
        val usable = directory.states.filter { it.status == EntryStatus.ALIVE }
            .ifEmpty { directory.states.filter { it.status == EntryStatus.SUSPECTED } }
        val (nearby, distant) = usable.shuffled(random).partition { it.dataCentre == caller }
        val nearbyLimit = MAX_ENTRIES - minOf(MIN_REMOTE_ENTRIES, distant.size)
        val chosen = (nearby.take(nearbyLimit) + distant).take(MAX_ENTRIES)
        return EntryList(
            chosen.map { EntryAddress(it.callerAddress, it.dataCentre) },
            now.deadlineAfter(keepMilliseconds),
        )
    }
}
