package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.vanilladale.schema.PoolTarget

/**
 * Provides connections for bound requests: the shared link to a target or a new one.
 *
 * @param dial starts a separate link to a target, which the caller has to retire
 */
internal class BoundLinks(
    private val scope: CoroutineScope,
    private val links: AgentLinks,
    private val dial: (PoolTarget) -> AgentLink,
) {
    /** Returns the shared link to [poolTarget], or null if it is not connected. */
    fun sharedOrNull(poolTarget: PoolTarget): AgentLink? =
        links.linkOrNull(poolTarget.target)?.takeIf { it.connection != null }

    /**
     * Calls [block] with a link that has a new connection, or with null if the connection does
     * not open within [milliseconds]. The link is retired afterwards.
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
