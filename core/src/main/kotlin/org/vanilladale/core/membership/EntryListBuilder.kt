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
 * Builds the list of entries for a caller.
 *
 * @param keepMilliseconds time for which the caller keeps the list
 */
public class EntryListBuilder(private val random: Random, private val keepMilliseconds: Long) {
    /**
     * Returns live entries in a new random order, those in [caller] first. With more entries than
     * fit, some places go to other data centres, so that a caller survives the loss of its own.
     *
     * Falls back to suspected entries, then to this one, so the list is never empty while this
     * entry isn't leaving.
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
