package org.vanilladale.core.placement

import arrow.core.getOrElse
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/**
 * Maximum number of load changes that an edit causes by adding and removing copies, two per expert.
 * An edit also changes the load of each rank that already holds a copy of one of the two experts.
 */
private const val MAX_DIRECT_CHANGES = 4

/**
 * Mutable copy of a map for the search of one plan, with the predicted step times of the ranks.
 *
 * The times are relative to a step in which the load is distributed in proportion to the speeds of
 * the ranks. The largest of them is the predicted skew.
 */
internal class PlacementDraft(
    private val original: ExpertMap,
    private val shares: DoubleArray,
    speed: RankSpeed,
) {
    val rankCount = original.rankCount
    val expertCount = original.expertCount
    private val slots = original.slotsPerRank
    private val held = Array(rankCount) { BooleanArray(expertCount) }
    private val originallyHeld = Array(rankCount) { BooleanArray(expertCount) }
    private val copies = IntArray(expertCount)
    private val usedSlots = IntArray(rankCount)
    private val loads = DoubleArray(rankCount)
    private val timePerLoad: DoubleArray
    private val powers = DoubleArray(rankCount)
    private val weightLoads = IntArray(rankCount)
    private val expertsOnRank = Array(rankCount) { IntArray(slots) }
    private val ranksOfExpert = Array(expertCount) { IntArray(rankCount) }
    private val loadChange = DoubleArray(rankCount)
    private val changedRanks = IntArray(2 * rankCount + MAX_DIRECT_CHANGES)
    private var changedCount = 0

    /**
     * Sum of the eighth powers of the times of all ranks. Unlike the maximum, it decreases when any
     * one of several slow ranks gets faster.
     */
    var potential = 0.0
        private set

    /** Number of copies that the original map does not have. */
    var weightLoadCount = 0
        private set

    init {
        val speeds = DoubleArray(rankCount) { speed.speedOf(Rank(it)) }
        val totalSpeed = speeds.sum()
        timePerLoad = DoubleArray(rankCount) { totalSpeed / speeds[it] }
        for (expert in 0 until expertCount) {
            original.ranksOf(ExpertId(expert)).forEach { rank ->
                held[rank.value][expert] = true
                originallyHeld[rank.value][expert] = true
                usedSlots[rank.value]++
                copies[expert]++
            }
        }
        recompute()
    }

    /** Returns the number of copies on [rank] that the original map does not have. */
    fun weightLoadsAt(rank: Int): Int = weightLoads[rank]

    val skew: Double get() = (0 until rankCount).maxOf { timeOf(it) }

    val slowestRank: Int get() = (0 until rankCount).maxBy { timeOf(it) }

    fun timeOf(rank: Int): Double = loads[rank] * timePerLoad[rank]

    fun holds(rank: Int, expert: Int): Boolean = held[rank][expert]

    /** Returns the experts on [rank] as of the last [recompute]. */
    fun expertsOn(rank: Int): IntArray = expertsOnRank[rank].copyOf(usedSlots[rank])

    fun hasFreeSlot(rank: Int): Boolean = usedSlots[rank] < slots

    fun isReplicated(expert: Int): Boolean = copies[expert] > 1

    fun shareOfCopy(expert: Int): Double = shares[expert] / copies[expert]

    /** Adds a copy. Loads and [potential] are updated by the next [recompute]. */
    fun add(rank: Int, expert: Int) {
        held[rank][expert] = true
        copies[expert]++
        usedSlots[rank]++
        countWeightLoad(rank, expert, 1)
    }

    /** Removes a copy. Loads and [potential] are updated by the next [recompute]. */
    fun remove(rank: Int, expert: Int) {
        held[rank][expert] = false
        copies[expert]--
        usedSlots[rank]--
        countWeightLoad(rank, expert, -1)
    }

    private fun countWeightLoad(rank: Int, expert: Int, change: Int) {
        if (originallyHeld[rank][expert]) return
        weightLoadCount += change
        weightLoads[rank] += change
    }

    /** Recomputes all sums from the copies, so that rounding errors do not accumulate. */
    fun recompute() {
        potential = 0.0
        val copiesSeen = IntArray(expertCount)
        for (rank in 0 until rankCount) {
            var load = 0.0
            var count = 0
            for (expert in 0 until expertCount) {
                if (!held[rank][expert]) continue
                load += shareOfCopy(expert)
                expertsOnRank[rank][count++] = expert
                ranksOfExpert[expert][copiesSeen[expert]++] = rank
            }
            loads[rank] = load
            powers[rank] = power(timeOf(rank))
            potential += powers[rank]
        }
    }

    /** Returns the change of [weightLoadCount] that the edit would cause. */
    fun weightLoadChangeOf(
        expert: Int,
        from: Int,
        removesCopy: Boolean,
        to: Int,
        displaced: Int,
        isSwap: Boolean,
    ) = weightLoadsFor(to, expert) - (if (removesCopy) weightLoadsFor(from, expert) else 0) -
        weightLoadsFor(if (displaced == NONE) NONE else to, displaced) +
        (if (isSwap) weightLoadsFor(from, displaced) else 0)

    /**
     * Returns the change of [potential] that the edit would cause.
     *
     * Only ranks whose load changes are evaluated: the two ranks of the edit and, if the number of
     * copies of an expert changes, the other ranks that hold it.
     */
    fun potentialChangeOf(
        expert: Int,
        from: Int,
        removesCopy: Boolean,
        to: Int,
        displaced: Int,
        isSwap: Boolean,
    ): Double {
        val added = (if (to == NONE) 0 else 1) - (if (removesCopy) 1 else 0)
        val share = shareAfter(expert, added)
        if (removesCopy) changeLoad(from, -share)
        if (to != NONE) changeLoad(to, share)
        if (displaced != NONE) {
            val shareOfDisplaced = shareAfter(displaced, if (isSwap) 0 else -1)
            changeLoad(to, -shareOfDisplaced)
            if (isSwap) changeLoad(from, shareOfDisplaced)
        }
        var change = 0.0
        for (index in 0 until changedCount) {
            val rank = changedRanks[index]
            change += power((loads[rank] + loadChange[rank]) * timePerLoad[rank]) - powers[rank]
            loadChange[rank] = 0.0
        }
        changedCount = 0
        return change
    }

    fun toMap(): ExpertMap {
        val ranks = List(expertCount) { expert ->
            (0 until rankCount).filter { held[it][expert] }.map(::Rank)
        }
        return ExpertMap.fromRanks(rankCount, slots, ranks).getOrElse { error(it.message) }
    }

    private fun weightLoadsFor(rank: Int, expert: Int): Int =
        if (rank == NONE || originallyHeld[rank][expert]) 0 else 1

    /**
     * Returns the share of a copy of [expert] after [added] copies are added, and records the load
     * change of the ranks that hold a copy now.
     */
    private fun shareAfter(expert: Int, added: Int): Double {
        val count = copies[expert]
        val after = shares[expert] / (count + added)
        if (added != 0) {
            val change = after - shareOfCopy(expert)
            for (index in 0 until count) changeLoad(ranksOfExpert[expert][index], change)
        }
        return after
    }

    private fun changeLoad(rank: Int, change: Double) {
        if (change == 0.0) return
        // A rank whose changes have cancelled out is recorded a second time. That does no harm: the
        // caller resets its load change at the first entry, and the second one then adds zero.
        if (loadChange[rank] == 0.0) changedRanks[changedCount++] = rank
        loadChange[rank] += change
    }

    private fun power(time: Double): Double {
        val square = time * time
        val fourth = square * square
        return fourth * fourth
    }
}
