package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetId

/** The links of this entry, one for each target that it uses. */
internal class AgentLinks(
    private val scope: CoroutineScope,
    private val create: (PoolTarget) -> AgentLink,
) {
    private val lock = Any()

    @Volatile
    private var links: Map<TargetId, AgentLink> = emptyMap()

    /** Returns the link to [target], or null if this entry does not use the target. */
    fun linkOrNull(target: TargetId): AgentLink? = links[target]

    /** All links. */
    val all: Collection<AgentLink> get() = links.values

    /**
     * Starts links to new targets in [targets] and retires the links to targets that are no longer
     * included or whose address has changed.
     */
    fun update(targets: Collection<PoolTarget>) {
        val retired = synchronized(lock) {
            val before = links
            val after = targets.associate { wanted ->
                val existing = before[wanted.target]
                val kept = existing?.takeIf { it.target.agentAddress == wanted.agentAddress }
                wanted.target to (kept ?: create(wanted).also { it.start(scope) })
            }
            links = after
            before.values - after.values.toSet()
        }
        retired.forEach { it.retire(scope) }
    }
}
