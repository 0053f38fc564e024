package org.vanilladale.core.placement

import arrow.core.getOrElse
import org.vanilladale.schema.Rank

/**
 * Returns a map that doesn't depend on an earlier one.
 *
 * Spare slots hold replicas of the experts with the largest share per copy. The copies are then
 * assigned in order of descending share, each to the rank that is predicted to finish first.
 *
 * This function makes the first map of a group. Later changes are made in small steps by
 * [PlacementPlanner], because each copy that a rank gains costs a load of weights.
 *
 * @throws IllegalArgumentException if there are fewer slots than experts
 */
public fun balancedMap(
    rankCount: Int,
    slotsPerRank: Int,
    shares: List<Double>,
    speed: RankSpeed,
    allowReplicas: Boolean = true,
): ExpertMap {
    require(shares.size <= rankCount * slotsPerRank) {
        "${shares.size} experts exceed $rankCount ranks of $slotsPerRank slots; add ranks or slots"
    }
    val spareSlots = if (allowReplicas) rankCount * slotsPerRank - shares.size else 0
    val copies = replicaCounts(rankCount, spareSlots, shares)
    val ranks = List(shares.size) { mutableListOf<Rank>() }
    val loads = DoubleArray(rankCount)
    val usedSlots = IntArray(rankCount)
    val expertsOfCopies = shares.indices.flatMap { expert -> List(copies[expert]) { expert } }
    for (expert in expertsOfCopies.sortedByDescending { shares[it] / copies[it] }) {
        val share = shares[expert] / copies[expert]
        val candidates = (0 until rankCount).filter {
            usedSlots[it] < slotsPerRank && Rank(it) !in ranks[expert]
        }
        val rank =
            candidates.minByOrNull { (loads[it] + share) / speed.speedOf(Rank(it)) } ?: continue
        ranks[expert] += Rank(rank)
        loads[rank] += share
        usedSlots[rank]++
    }
    return ExpertMap.fromRanks(rankCount, slotsPerRank, ranks).getOrElse {
        throw IllegalArgumentException(it.message)
    }
}

/**
 * Returns the number of copies of each expert when each of [spareSlots] slots in turn goes to the
 * expert with the largest share per copy.
 */
public fun replicaCounts(rankCount: Int, spareSlots: Int, shares: List<Double>): List<Int> {
    val copies = IntArray(shares.size) { 1 }
    repeat(spareSlots) {
        val hottest = shares.indices.filter { copies[it] < rankCount }
            .maxByOrNull { shares[it] / copies[it] } ?: return copies.toList()
        copies[hottest]++
    }
    return copies.toList()
}
