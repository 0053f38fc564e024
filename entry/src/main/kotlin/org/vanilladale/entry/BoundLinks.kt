package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.schema.PoolTarget

/**
 * Connections for bound requests.
 *
 * @param dial starts a link of its own to a target; the receiver stops it
 */
internal class BoundLinks(
    private val scope: CoroutineScope,
    private val links: AgentLinks,
    private val dial: (PoolTarget) -> AgentLink,
) {
    /** Returns the link of this entry to [poolTarget] while it is connected. */
    fun sharedOrNull(poolTarget: PoolTarget): AgentLink? =
        links.linkOrNull(poolTarget.target)?.takeIf { it.connection != null }

    /**
     * Passes a link with a new connection to [block], or null when there is none within
     * [milliseconds].
     */
    suspend fun <R> withNewLink(
        poolTarget: PoolTarget,
        milliseconds: Long,
        block: suspend (AgentLink?) -> R,
    ): R {
        val link = dial(poolTarget)
        try {
            val connected = withTimeoutOrNull(milliseconds) {
                while (link.connection == null) delay(POLL_MILLISECONDS)
                link
            }
            return block(connected)
        } finally {
            link.retire(scope)
        }
    }

    private companion object {
        const val POLL_MILLISECONDS = 5L
    }
}
