package org.vanilladale.core.routing

import kotlin.math.ceil
import org.vanilladale.core.hash.StableHash
import org.vanilladale.schema.DataCentreName
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.VmId

/** An entry as input of the subset computation. */
public data class SubsetEntry(val vm: VmId, val dataCentre: DataCentreName)

/**
 * The targets of one pool that one entry uses.
 *
 * All entries compute the same assignment from the same lists, so that the load is balanced
 * without messages between them. Pairs of entry and target are assigned in the order of a shared
 * hash, starting with the pairs within one data centre. An entry gets at most `size` targets, and a
 * target gets at most the mean number of entries times `slack`, rounded up. A change of one VM
 * affects only the pairs next to it in that order. If entries have different lists for a while,
 * their subsets are slightly unbalanced, which does no other harm.
 */
public class TargetSubset private constructor(public val targets: List<TargetId>) {
    public companion object {
        /** Default number of targets in a subset; see docs/measurements-routing.md. */
        public const val DEFAULT_SIZE: Int = 16

        /** Default factor by which a target may exceed the mean number of entries. */
        public const val DEFAULT_SLACK: Double = 1.1

        /** Returns the subset of the entry [own], which may be missing from [entries]. */
        public fun forEntry(
            own: SubsetEntry,
            entries: Collection<SubsetEntry>,
            targets: Collection<PoolTarget>,
            size: Int = DEFAULT_SIZE,
            slack: Double = DEFAULT_SLACK,
        ): TargetSubset {
            if (targets.size <=
                size
            ) {
                return TargetSubset(targets.map { it.target }.sortedBy { it.text })
            }
            return forAllEntries((entries + own).distinctBy { it.vm }, targets, size, slack)
                .getValue(own.vm)
        }

        /** Returns the subset of each entry. */
        public fun forAllEntries(
            entries: Collection<SubsetEntry>,
            targets: Collection<PoolTarget>,
            size: Int = DEFAULT_SIZE,
            slack: Double = DEFAULT_SLACK,
        ): Map<VmId, TargetSubset> {
            require(size > 0) { "The subset size must be positive; found $size" }
            require(slack >= 1.0) { "The slack must be at least 1; found $slack" }
            val assignment = SubsetAssignment(
                entries.sortedBy { it.vm.text },
                targets.sortedBy { it.target.text },
                size.coerceAtMost(targets.size),
                slack,
            )
            return assignment.assign().mapValues { TargetSubset(it.value) }
        }
    }
}

private class SubsetAssignment(
    private val entries: List<SubsetEntry>,
    private val targets: List<PoolTarget>,
    private val size: Int,
    slack: Double,
) {
    private val entryHashes = entries.map { StableHash.ofText(it.vm.text) }.toLongArray()
    private val targetHashes = targets.map { StableHash.ofText(it.target.text) }.toLongArray()
    private val meanEntriesPerTarget =
        entries.size.toDouble() * size / targets.size.coerceAtLeast(1)
    private val maxEntriesPerTarget = ceil(meanEntriesPerTarget * slack - ROUNDING).toInt()
    private val chosen = entries.map { LinkedHashSet<Int>() }
    private val entriesOfTarget = IntArray(targets.size)

    fun assign(): Map<VmId, List<TargetId>> {
        takeInHashOrder { entry, target ->
            entries[entry].dataCentre == targets[target].dataCentre
        }
        takeInHashOrder { entry, target ->
            entries[entry].dataCentre != targets[target].dataCentre
        }
        entries.indices.forEach(::fillFromLeastUsed)
        return entries.indices.associate { entry ->
            entries[entry].vm to chosen[entry].map { targets[it].target }
        }
    }

    private fun takeInHashOrder(belongs: (entry: Int, target: Int) -> Boolean) {
        val open = entries.indices.filter { chosen[it].size < size }
        if (open.isEmpty()) return
        val pairs = open.flatMap { entry ->
            targets.indices.filter { belongs(entry, it) }.map { target ->
                ScoredPair(
                    entry,
                    target,
                    StableHash.ofPair(entryHashes[entry], targetHashes[target]),
                )
            }
        }
        for (pair in pairs.sortedBy { it.score }) {
            val full =
                chosen[pair.entry].size >= size ||
                    entriesOfTarget[pair.target] >= maxEntriesPerTarget
            if (!full) take(pair.entry, pair.target)
        }
    }

    /** Fills the subset beyond the limit, as the last entries may find too few targets. */
    private fun fillFromLeastUsed(entry: Int) {
        while (chosen[entry].size < size) {
            val target = targets.indices.filter { it !in chosen[entry] }.minWith(
                compareBy(
                    { entriesOfTarget[it] },
                    { StableHash.ofPair(entryHashes[entry], targetHashes[it]) },
                ),
            )
            take(entry, target)
        }
    }

    private fun take(entry: Int, target: Int) {
        chosen[entry] += target
        entriesOfTarget[target]++
    }

    private class ScoredPair(val entry: Int, val target: Int, val score: Long)

    private companion object {
        // Prevents a whole-number limit from being rounded up by a floating-point error.
        const val ROUNDING = 1e-9
    }
}
