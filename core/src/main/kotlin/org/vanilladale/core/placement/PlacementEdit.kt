package org.vanilladale.core.placement

/** Stands for the absent receiving rank or displaced expert of an edit. */
internal const val NONE = -1

/**
 * Elementary change of a draft that takes load off rank [from]: it adds, removes or replaces a
 * replica, moves a copy or swaps two copies.
 *
 * @property expert expert that gets a copy on [to], loses its copy on [from], or both
 * @property removesCopy whether the copy of [expert] on [from] is removed
 * @property to rank that receives a copy of [expert], or [NONE]
 * @property displaced expert whose copy on [to] is removed to free the slot, or [NONE]
 * @property isSwap whether [displaced] gets a copy on [from] in exchange
 */
internal data class PlacementEdit(
    val expert: Int,
    val from: Int,
    val removesCopy: Boolean,
    val to: Int,
    val displaced: Int,
    val isSwap: Boolean,
) {
    fun apply(draft: PlacementDraft) {
        if (displaced != NONE) draft.remove(to, displaced)
        if (removesCopy) draft.remove(from, expert)
        if (to != NONE) draft.add(to, expert)
        if (isSwap) draft.add(from, displaced)
        draft.recompute()
    }

    fun undo(draft: PlacementDraft) {
        if (isSwap) draft.remove(from, displaced)
        if (to != NONE) draft.remove(to, expert)
        if (removesCopy) draft.add(from, expert)
        if (displaced != NONE) draft.add(to, displaced)
        draft.recompute()
    }
}

/** Receives the properties of an edit one by one, so that visiting an edit allocates no object. */
internal typealias EditVisitor =
    (expert: Int, removesCopy: Boolean, to: Int, displaced: Int, isSwap: Boolean) -> Unit

/**
 * Calls [visit] for each edit that takes load off rank [from].
 *
 * @param excluded copies that may not be added, by rank and expert
 */
internal fun visitEdits(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    excluded: Array<BooleanArray>,
    visit: EditVisitor,
) {
    for (expert in draft.expertsOn(from)) {
        if (draft.isReplicated(expert)) visit(expert, true, NONE, NONE, false)
        for (to in 0 until draft.rankCount) {
            val mayReceive = to != from && !draft.holds(to, expert) && !excluded[to][expert]
            if (mayReceive) visitReceiver(draft, options, from, expert, to, excluded, visit)
        }
    }
}

private fun visitReceiver(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    expert: Int,
    to: Int,
    excluded: Array<BooleanArray>,
    visit: EditVisitor,
) {
    if (draft.hasFreeSlot(to)) {
        visit(expert, true, to, NONE, false)
        if (options.allowReplicas) visit(expert, false, to, NONE, false)
    } else {
        visitExchanges(draft, options, from, expert, to, excluded, visit)
    }
}

private fun visitExchanges(
    draft: PlacementDraft,
    options: PlacementOptions,
    from: Int,
    expert: Int,
    to: Int,
    excluded: Array<BooleanArray>,
    visit: EditVisitor,
) {
    val share = draft.shareOfCopy(expert)
    for (displaced in draft.expertsOn(to)) {
        if (draft.isReplicated(displaced)) {
            visit(expert, true, to, displaced, false)
            if (options.allowReplicas) visit(expert, false, to, displaced, false)
        }
        val isLighter = draft.shareOfCopy(displaced) < share
        val maySwap = isLighter && !draft.holds(from, displaced) && !excluded[from][displaced]
        if (options.allowSwaps && maySwap) visit(expert, true, to, displaced, true)
    }
}
