package org.vanilladale.core.placement

import arrow.core.getOrElse
import org.vanilladale.schema.Rank

/**
 * Returns a map made from scratch: spare slots replicate the experts with the largest share a copy,
 * then each copy, heaviest first, goes to the rank that is predicted to finish first.
 *
 * For the first map of a group; a running group takes the planner's increments.
 *
 * @throws IllegalArgumentException if the slots do not suffice for one copy of each expert
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

/** Returns the copies of each expert when [spareSlots] slots go to the largest shares a copy in turn. */
public fun replicaCounts(rankCount: Int, spareSlots: Int, shares: List<Double>): List<Int> {
    val copies = IntArray(shares.size) { 1 }
    repeat(spareSlots) {
        val hottest = shares.indices.filter { copies[it] < rankCount }
            .maxByOrNull { shares[it] / copies[it] } ?: return copies.toList()
        copies[hottest]++
    }
    return copies.toList()
}
