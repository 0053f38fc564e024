package org.vanilladale.core.placement

import arrow.core.getOrElse
import org.vanilladale.schema.ExpertId
import org.vanilladale.schema.Rank

/**
 * Map under change during one decision, with the predicted times of the ranks.
 *
 * Times are relative to the time of a step whose load is spread perfectly by speed, so the largest
 * one is the predicted skew.
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
    private val heldBefore = Array(rankCount) { BooleanArray(expertCount) }
    private val copies = IntArray(expertCount)
    private val used = IntArray(rankCount)
    private val loads = DoubleArray(rankCount)
    private val timeOfLoad: DoubleArray

    /** Sum of the eighth powers of the times: falls when any of the slowest ranks gets faster. */
    var potential = 0.0
        private set

    /** Copies that the original map does not have. */
    var loadCount = 0
        private set

    init {
        val speeds = DoubleArray(rankCount) { speed.speedOf(Rank(it)) }
        val totalSpeed = speeds.sum()
        timeOfLoad = DoubleArray(rankCount) { totalSpeed / speeds[it] }
        for (expert in 0 until expertCount) {
            original.ranksOf(ExpertId(expert)).forEach { rank ->
                held[rank.value][expert] = true
                heldBefore[rank.value][expert] = true
                used[rank.value]++
                copies[expert]++
            }
        }
        recompute()
    }

    val skew: Double get() = (0 until rankCount).maxOf { timeOf(it) }
    val slowestRank: Int get() = (0 until rankCount).maxBy { timeOf(it) }

    /** Returns up to [count] ranks, the fastest first. */
    fun fastestRanks(count: Int): List<Int> =
        (0 until rankCount).sortedBy { timeOf(it) }.take(count)

    fun holds(rank: Int, expert: Int): Boolean = held[rank][expert]

    fun hasFreeSlot(rank: Int): Boolean = used[rank] < slots

    fun isReplicated(expert: Int): Boolean = copies[expert] > 1

    fun shareOfCopy(expert: Int): Double = shares[expert] / copies[expert]

    /** Recomputes all sums, so that rounding errors of tried edits do not add up. */
    fun recompute() {
        loads.fill(0.0)
        for (rank in 0 until rankCount) {
            for (expert in 0 until expertCount) {
                if (held[rank][expert]) loads[rank] += shareOfCopy(expert)
            }
        }
        potential = (0 until rankCount).sumOf { power(timeOf(it)) }
    }

    fun add(rank: Int, expert: Int) {
        change(rank, expert, isAdded = true)
        if (!isOriginal(rank, expert)) loadCount++
    }

    fun remove(rank: Int, expert: Int) {
        change(rank, expert, isAdded = false)
        if (!isOriginal(rank, expert)) loadCount--
    }

    fun toMap(): ExpertMap {
        val ranks = List(expertCount) { expert ->
            (0 until rankCount).filter { held[it][expert] }.map(::Rank)
        }
        return ExpertMap.fromRanks(rankCount, slots, ranks).getOrElse { error(it.message) }
    }

    private fun isOriginal(rank: Int, expert: Int): Boolean = heldBefore[rank][expert]

    private fun change(rank: Int, expert: Int, isAdded: Boolean) {
        val before = if (copies[expert] == 0) 0.0 else shareOfCopy(expert)
        held[rank][expert] = isAdded
        copies[expert] += if (isAdded) 1 else -1
        used[rank] += if (isAdded) 1 else -1
        val after = if (copies[expert] == 0) 0.0 else shareOfCopy(expert)
        setLoad(rank, loads[rank] + if (isAdded) after else -before)
        val othersHold = copies[expert] > if (isAdded) 1 else 0
        if (!othersHold) return
        for (other in 0 until rankCount) {
            if (other != rank && held[other][expert]) setLoad(other, loads[other] + after - before)
        }
    }

    private fun setLoad(rank: Int, load: Double) {
        potential -= power(timeOf(rank))
        loads[rank] = load
        potential += power(timeOf(rank))
    }

    private fun timeOf(rank: Int): Double = loads[rank] * timeOfLoad[rank]

    private fun power(time: Double): Double {
        val square = time * time
        val fourth = square * square
        return fourth * fourth
    }
}
