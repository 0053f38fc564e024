package org.vanilladale.core.gateway

import org.vanilladale.core.hash.rendezvousChoice
import org.vanilladale.schema.VmId

/**
 * Chooses the only entry that sends requests to a cold target.
 *
 * A cold target crashes if all entries together send it too many requests, for example when a whole
 * data centre comes back under load. Entries learn of each other's requests too late to keep such a
 * limit, and there is no shared store to write to. With one owner for each target the limit needs
 * no messages.
 */
public object ColdTargetOwner {
    /**
     * Returns the owner of [target] among the caller-facing [entries], or null if there are none.
     * Entries of the target's data centre come first. Entries that know the same entries choose
     * alike, and the loss of an entry moves only the targets that it owned.
     */
    public fun chooseOrNull(target: KnownTarget, entries: Collection<AddressCandidate>): VmId? {
        val nearby = entries.filter { it.dataCentre == target.dataCentre }
        return rendezvousChoice(target.id.text, nearby.ifEmpty { entries }) { it.vm.text }?.vm
    }
}
