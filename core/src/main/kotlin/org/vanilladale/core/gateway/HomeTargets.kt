package org.vanilladale.core.gateway

import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/**
 * Deals the ranks of a fleet to the caller-facing entries, so that entries that know the loads of
 * the others only as of a while ago do not all choose the same rank.
 *
 * Each rank is the home rank of one entry, of the same data centre if possible, which spares the
 * traffic between data centres. Entries that know the same entries and targets deal alike, without
 * messages. After the loss of an entry the others deal anew.
 */
public object HomeTargets {
    /** Returns the home ranks of [own] among [targets]; none if it takes no requests of callers. */
    public fun choose(
        own: VmId,
        callerFacing: Collection<AddressCandidate>,
        targets: Collection<KnownTarget>,
    ): Set<TargetId> {
        val self = callerFacing.firstOrNull { it.vm == own } ?: return emptySet()
        val ranks = targets.filter { it.seat != null }
        val entries = callerFacing.groupBy { it.dataCentre }
        val isLocal = hasLocalRanks(entries.mapValues { it.value.size }, ranks)
        val sharing = if (isLocal) entries.getValue(self.dataCentre) else callerFacing
        val shared = if (isLocal) ranks.filter { it.dataCentre == self.dataCentre } else ranks
        val index = sharing.map { it.vm.text }.sorted().indexOf(own.text)
        return shared.sortedWith(order)
            .filterIndexed { position, _ -> position % sharing.size == index }
            .mapTo(HashSet()) { it.id }
    }

    /**
     * Returns whether each data centre with ranks has entries for them, and each entry would get a
     * rank of its own data centre.
     */
    private fun hasLocalRanks(
        entries: Map<DataCentreName, Int>,
        ranks: List<KnownTarget>,
    ): Boolean {
        val rankCounts = ranks.groupingBy { it.dataCentre }.eachCount()
        return rankCounts.keys.all { it in entries } &&
            entries.all { (dataCentre, count) -> (rankCounts[dataCentre] ?: 0) >= count }
    }

    private val order = compareBy<KnownTarget>({ it.seat?.group?.text }, { it.seat?.rank?.value })
}
