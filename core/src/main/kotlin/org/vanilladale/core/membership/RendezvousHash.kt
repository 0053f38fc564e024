package org.vanilladale.core.membership

private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val PRIME = 0x100000001b3L
private const val MIX = -0x61c8864680b583ebL
private const val HIGH_BITS = 32

/** Returns the score of [candidate] for [key]; the candidates with the highest scores win. */
public fun rendezvousScore(key: String, candidate: String): Long {
    var hash = OFFSET_BASIS
    for (character in "$key\u0000$candidate") hash = (hash xor character.code.toLong()) * PRIME
    // FNV-1a alone leaves the high bits of short, similar names correlated.
    hash = (hash xor (hash ushr HIGH_BITS)) * MIX
    return hash xor (hash ushr HIGH_BITS)
}

/**
 * Returns [count] of [candidates], chosen by rendezvous hashing over [key]; when any candidate is
 * [elsewhere], at least one of the chosen is.
 */
public fun <T> chooseByRendezvous(
    candidates: Collection<T>,
    count: Int,
    key: String,
    name: (T) -> String,
    elsewhere: (T) -> Boolean,
): List<T> {
    if (count <= 0) return emptyList()
    val ranked = candidates.sortedByDescending { rendezvousScore(key, name(it)) }
    val chosen = ranked.take(count)
    if (chosen.any(elsewhere)) return chosen
    val other = ranked.firstOrNull(elsewhere) ?: return chosen
    return chosen.take(count - 1) + other
}
