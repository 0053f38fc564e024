package org.vanilladale.core.membership

import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.EntryState
import org.vanilladale.schema.EntryStatus

/**
 * Returns the entries that the owner of [directory] probes.
 *
 * Each entry is probed by the [count] others that rendezvous hashing over its VM names, at least
 * one of them in another data centre. If each entry chose whom it probes instead, some would be
 * probed by none. Suspected entries are still probed, so that a wrong suspicion is noticed.
 *
 * Sorts all entries for each entry: call it when the directory has changed, not for each probe.
 */
public fun chooseProbes(directory: EntryDirectory, count: Int): List<EntryState> {
    val present = directory.states.filter {
        it.status == EntryStatus.ALIVE || it.status == EntryStatus.SUSPECTED
    }
    val probers = present.filter { it.status == EntryStatus.ALIVE || it.vm == directory.self }
    return present.filter { probed ->
        probed.vm != directory.self &&
            chooseByRendezvous(
                probers.filter { it.vm != probed.vm },
                count,
                probed.vm.text,
                { it.vm.text },
                { it.dataCentre != probed.dataCentre },
            ).any { it.vm == directory.self }
    }
}
