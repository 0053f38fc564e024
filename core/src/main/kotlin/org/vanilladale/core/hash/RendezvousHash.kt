package org.vanilladale.core.hash

import java.nio.ByteBuffer

/**
 * Returns the candidate with the highest hash over [key] and its name, or null without candidates.
 *
 * Processes that know the same candidates choose the same one, and a change of other candidates
 * moves only the keys of those that came or went.
 */
public fun <T : Any> rendezvousChoice(
    key: List<String>,
    candidates: Collection<T>,
    nameOf: (T) -> String,
): T? {
    val keyFields = key.map { it.toByteArray() }
    return candidates.maxWithOrNull(
        compareBy(
            { ByteBuffer.wrap(sha256OfFields(keyFields + nameOf(it).toByteArray())).getLong() },
            { nameOf(it) },
        ),
    )
}
