package org.vanilladale.core.membership

import org.vanilladale.core.hash.chooseByRendezvous
import org.vanilladale.schema.EntryState
import org.vanilladale.schema.EntryStatus

/**
 * Returns the entries that the owner of [directory] probes.
 *
 * Each entry is probed by [count] other entries, at least one of them in another data centre. They
 * are chosen by rendezvous hashing of the name of the probed VM. If each entry chose the entries
 * that it probes instead, some entries would not be probed at all. Suspected entries are still
 * probed, so that a wrong suspicion is corrected.
 *
 * The function sorts all entries for each entry. Call it after a change of the directory, not for
 * each probe.
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
