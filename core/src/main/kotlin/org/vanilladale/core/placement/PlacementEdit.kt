package org.vanilladale.core.placement

/** One copy to add to or remove from a draft. */
internal data class CopyEdit(val rank: Int, val expert: Int, val isAdded: Boolean)

/** Smallest change of a draft: a move, a swap, an added, replaced or dropped replica. */
internal class PlacementEdit(vararg val copies: CopyEdit) {
    fun apply(draft: PlacementDraft) = copies.forEach { change(draft, it, it.isAdded) }

    fun undo(draft: PlacementDraft) = copies.reversed().forEach { change(draft, it, !it.isAdded) }

    private fun change(draft: PlacementDraft, copy: CopyEdit, isAdded: Boolean) {
        if (isAdded) draft.add(copy.rank, copy.expert) else draft.remove(copy.rank, copy.expert)
    }
}

/**
 * Returns the edits that take load off [PlacementDraft.slowestRank].
 *
 * @param isBarred whether a copy may not be added
 */
internal fun editsOf(
    draft: PlacementDraft,
    options: PlacementOptions,
    isBarred: (rank: Int, expert: Int) -> Boolean,
): List<PlacementEdit> {
    val slowest = draft.slowestRank
    val fastest = draft.fastestRanks(options.receivingRanks)
    val edits = mutableListOf<PlacementEdit>()
    for (expert in 0 until draft.expertCount) {
        if (!draft.holds(slowest, expert)) continue
        val leave = CopyEdit(slowest, expert, isAdded = false)
        if (draft.isReplicated(expert)) edits += PlacementEdit(leave)
        val open = fastest.filter {
            it != slowest && !draft.holds(it, expert) && !isBarred(it, expert)
        }
        open.forEach { rank ->
            val arrive = CopyEdit(rank, expert, isAdded = true)
            edits += when {
                !draft.hasFreeSlot(rank) ->
                    exchanges(draft, options, leave, arrive) { isBarred(slowest, it) }
                options.allowReplicas ->
                    listOf(PlacementEdit(leave, arrive), PlacementEdit(arrive))
                else -> listOf(PlacementEdit(leave, arrive))
            }
        }
    }
    return edits
}

private fun exchanges(
    draft: PlacementDraft,
    options: PlacementOptions,
    leave: CopyEdit,
    arrive: CopyEdit,
    isBarred: (expert: Int) -> Boolean,
): List<PlacementEdit> = buildList {
    val share = draft.shareOfCopy(leave.expert)
    for (other in 0 until draft.expertCount) {
        if (!draft.holds(arrive.rank, other)) continue
        val makeRoom = CopyEdit(arrive.rank, other, isAdded = false)
        if (draft.isReplicated(other)) {
            add(PlacementEdit(makeRoom, leave, arrive))
            if (options.allowReplicas) add(PlacementEdit(makeRoom, arrive))
        }
        val isLighter = draft.shareOfCopy(other) < share
        val mayComeBack = !draft.holds(leave.rank, other) && !isBarred(other)
        if (options.allowSwaps && isLighter && mayComeBack) {
            val comeBack = CopyEdit(leave.rank, other, isAdded = true)
            add(PlacementEdit(leave, makeRoom, arrive, comeBack))
        }
    }
}
