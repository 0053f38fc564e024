package org.vanilladale.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.vanilladale.core.gateway.KnownTarget

/** One answer in a hundred may be lost, and a large group is whole only with all of them. */
private const val MAX_QUERY_ATTEMPTS = 3

/**
 * Queries all of these ranks at once, and those that did not answer again. Returns the answers in
 * the order of the ranks, or null when a rank did not answer at all.
 */
internal suspend fun <T : Any> List<KnownTarget>.collectAnswers(
    query: suspend (KnownTarget) -> T?,
): Map<KnownTarget, T>? {
    val answers = HashMap<KnownTarget, T>()
    repeat(MAX_QUERY_ATTEMPTS) {
        val pending = filter { it !in answers }
        coroutineScope { pending.map { rank -> async { rank to query(rank) } }.awaitAll() }
            .forEach { (rank, answer) -> if (answer != null) answers[rank] = answer }
        if (answers.size == size) return associateWith(answers::getValue)
    }
    return null
}
