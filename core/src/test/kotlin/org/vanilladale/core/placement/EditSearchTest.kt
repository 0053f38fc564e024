package org.vanilladale.core.placement

import kotlin.math.abs
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.vanilladale.schema.Rank
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EditSearchTest {
    private val options = PlacementOptions()

    private fun draft(ranks: Int, slots: Int, held: List<List<Int>>, shares: List<Double>) =
        PlacementDraft(
            ExpertMap.fromRanks(ranks, slots, held.map { it.map(::Rank) }).getOrNull()!!,
            shares.map { it / shares.sum() }.toDoubleArray(),
            RankSpeed.even(ranks),
        )

    private fun free(draft: PlacementDraft) =
        Array(draft.rankCount) { BooleanArray(draft.expertCount) }

    // Guards against a predicted change that differs from the actual effect of the edit.
    @Test
    fun `each edit changes potential and loads as predicted and can be undone`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val held = List(20) { (0 until 6).shuffled(random).take(1 + it % 3 / 2) }
            val draft = draft(6, 20 - seed % 4, held, List(20) { random.nextDouble(0.1, 2.0) })
            val edits = mutableListOf<Triple<PlacementEdit, Double, Int>>()
            val from = draft.slowestRank
            visitEdits(draft, options, from, free(draft)) {
                    expert,
                    removesCopy,
                    to,
                    displaced,
                    isSwap,
                ->
                val edit = PlacementEdit(expert, from, removesCopy, to, displaced, isSwap)
                val change =
                    draft.potentialChangeOf(expert, from, removesCopy, to, displaced, isSwap)
                val loads = draft.weightLoadChangeOf(
                    expert,
                    from,
                    removesCopy,
                    to,
                    displaced,
                    isSwap,
                )
                edits += Triple(edit, change, loads)
            }
            expectThat(edits.size).isGreaterThan(10)
            val potential = draft.potential
            edits.forEach { (edit, change, loads) ->
                edit.apply(draft)
                expectThat(abs(draft.potential - potential - change)).isLessThan(1e-9 * potential)
                expectThat(draft.weightLoadCount).isEqualTo(loads)
                edit.undo(draft)
                expectThat(draft.potential to draft.weightLoadCount).isEqualTo(potential to 0)
            }
        }
    }

    // Guards against a search that considers only the fastest ranks as receivers. The ten fastest
    // ranks are excluded here, so that only a slower rank can receive the copy.
    @Test
    fun `a rank that is not among the fastest receives the copy`() {
        val shares = listOf(0.5) + List(9) { 0.6 } + listOf(0.4, 0.4, 1.2, 1.1)
        val held = List(10) { listOf(it) } + listOf(listOf(10), listOf(10), listOf(11), listOf(11))
        val draft = draft(12, 2, held, shares)
        val excluded = free(draft)
        for (rank in 0 until 10) excluded[rank].fill(true)
        val edits = EditSearch(draft, options, excluded, maxWeightLoads = 8).bestEdits()
        expectThat(edits.map { it.to }).isEqualTo(listOf(10))
    }

    // Guards against keeping a map that two edits together improve although no single edit does.
    @Test
    fun `two edits are combined when no single one lowers the times`() {
        var chained = 0
        for (seed in 1..200) {
            val random = Random(seed)
            val held = List(8) { listOf(it / 2) }
            val draft = draft(4, 2, held, List(8) { random.nextDouble(0.5, 1.5) })
            val singles =
                EditSearch(draft, options.copy(pairCandidates = 0), free(draft), maxWeightLoads = 8)
            while (true) singles.bestEdits().ifEmpty { break }.forEach { it.apply(draft) }
            expectThat(singles.bestEdits()).isEmpty()
            val before = draft.potential
            val found = EditSearch(draft, options, free(draft), maxWeightLoads = 8).bestEdits()
            found.forEach { it.apply(draft) }
            if (found.isNotEmpty()) {
                chained++
                expectThat(draft.potential).isLessThan(before)
            }
        }
        expectThat(chained).isGreaterThan(0)
    }
}
