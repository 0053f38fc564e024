package org.vanilladale.core.hash

/** Returns the score of [candidate] for [key]; candidates with the highest scores are chosen. */
public fun rendezvousScore(key: String, candidate: String): Long =
    StableHash.ofPair(StableHash.ofText(key), StableHash.ofText(candidate))

/**
 * Returns the candidate with the highest score for [key], or null if there are no candidates.
 *
 * Processes that know the same candidates choose the same one. When a candidate is added or
 * removed, only the keys of that candidate move.
 */
public fun <T : Any> rendezvousChoice(
    key: String,
    candidates: Collection<T>,
    nameOf: (T) -> String,
): T? = candidates.maxWithOrNull(compareBy({ rendezvousScore(key, nameOf(it)) }, { nameOf(it) }))

/**
 * Returns the [count] candidates with the highest scores for [key]. If none of these satisfies
 * [isElsewhere], the last of them is replaced by the best candidate that does, if there is one.
 */
public fun <T> chooseByRendezvous(
    candidates: Collection<T>,
    count: Int,
    key: String,
    nameOf: (T) -> String,
    isElsewhere: (T) -> Boolean,
): List<T> {
    if (count <= 0) return emptyList()
    val ranked = candidates.sortedByDescending { rendezvousScore(key, nameOf(it)) }
    val chosen = ranked.take(count)
    if (chosen.any(isElsewhere)) return chosen
    val other = ranked.firstOrNull(isElsewhere) ?: return chosen
    return chosen.take(count - 1) + other
}
