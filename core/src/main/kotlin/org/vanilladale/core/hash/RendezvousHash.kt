package org.vanilladale.core.hash

/** Returns the score of [candidate] for [key]; the candidates with the highest scores win. */
public fun rendezvousScore(key: String, candidate: String): Long =
    StableHash.ofPair(StableHash.ofText(key), StableHash.ofText(candidate))

/**
 * Returns the candidate with the highest score for [key], or null without candidates.
 *
 * Processes that know the same candidates choose the same one, and a change of other candidates
 * moves only the keys of those that came or went.
 */
public fun <T : Any> rendezvousChoice(
    key: String,
    candidates: Collection<T>,
    nameOf: (T) -> String,
): T? = candidates.maxWithOrNull(compareBy({ rendezvousScore(key, nameOf(it)) }, { nameOf(it) }))

/**
 * Returns [count] of [candidates] with the highest scores for [key]; when any candidate is
 * [isElsewhere], at least one of the chosen is.
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
