package org.vanilladale.core.placement

/** Marks an edit without a receiving rank or without a second expert. */
internal const val NONE = -1

/**
 * Smallest change of a draft that takes load off rank [from]: a dropped, added or replaced replica,
 * a move or a swap.
 *
 * @property expert expert that gets a copy on [to], or loses its copy on [from], or both
 * @property leaves whether the copy of [expert] on [from] is removed
 * @property to rank that receives a copy of [expert], or [NONE]
 * @property other expert whose copy on [to] makes room, or [NONE]
 * @property returns whether [other] gets a copy on [from]
 */
internal data class PlacementEdit(
    val expert: Int,
    val from: Int,
    val leaves: Boolean,
    val to: Int,
    val other: Int,
    val returns: Boolean,
) {
    fun apply(draft: PlacementDraft) {
        if (other != NONE) draft.remove(to, other)
        if (leaves) draft.remove(from, expert)
        if (to != NONE) draft.add(to, expert)
        if (returns) draft.add(from, other)
        draft.recompute()
    }

    fun undo(draft: PlacementDraft) {
        if (returns) draft.remove(from, other)
        if (to != NONE) draft.remove(to, expert)
        if (leaves) draft.add(from, expert)
        if (other != NONE) draft.add(to, other)
        draft.recompute()
    }
}

/** Receives the parts of an edit, so that the edits that are not taken allocate nothing. */
internal typealias EditVisitor =
    (expert: Int, leaves: Boolean, to: Int, other: Int, returns: Boolean) -> Unit

/**
 * Visits the edits that take load off rank [from].
 *
 * @param barred copies that may not be added, by rank and expert
 */
internal fun visitEdits(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    barred: Array<BooleanArray>,
    visit: EditVisitor,
) {
    for (expert in draft.expertsOn(from)) {
        if (draft.isReplicated(expert)) visit(expert, true, NONE, NONE, false)
        for (to in 0 until draft.rankCount) {
            val mayReceive = to != from && !draft.holds(to, expert) && !barred[to][expert]
            if (mayReceive) visitReceiver(draft, options, from, expert, to, barred, visit)
        }
    }
}

private fun visitReceiver(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    expert: Int,
    to: Int,
    barred: Array<BooleanArray>,
    visit: EditVisitor,
) {
    if (draft.hasFreeSlot(to)) {
        visit(expert, true, to, NONE, false)
        if (options.allowReplicas) visit(expert, false, to, NONE, false)
    } else {
        visitExchanges(draft, options, from, expert, to, barred, visit)
    }
}

private fun visitExchanges(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    expert: Int,
    to: Int,
    barred: Array<BooleanArray>,
    visit: EditVisitor,
) {
    val share = draft.shareOfCopy(expert)
    for (other in draft.expertsOn(to)) {
        if (draft.isReplicated(other)) {
            visit(expert, true, to, other, false)
            if (options.allowReplicas) visit(expert, false, to, other, false)
        }
        val isLighter = draft.shareOfCopy(other) < share
        val mayReturn = isLighter && !draft.holds(from, other) && !barred[from][other]
        if (options.allowSwaps && mayReturn) visit(expert, true, to, other, true)
    }
}
