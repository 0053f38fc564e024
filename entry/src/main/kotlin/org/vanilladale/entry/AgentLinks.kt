package org.vanilladale.entry

import kotlinx.coroutines.CoroutineScope
import org.vanilladale.schema.PoolTarget
import org.vanilladale.schema.TargetId

/** The links of this entry, one for each target that the tables name. */
internal class AgentLinks(
    private val scope: CoroutineScope,
    private val create: (PoolTarget) -> AgentLink,
) {
    private val lock = Any()

    @Volatile
    private var links: Map<TargetId, AgentLink> = emptyMap()

    /** Returns the link to [target], or null when the tables do not name it. */
    fun linkOrNull(target: TargetId): AgentLink? = links[target]

    /** All links. */
    val all: Collection<AgentLink> get() = links.values

    /** Starts links to new [targets] and retires those to targets that are gone or have moved. */
    fun update(targets: Collection<PoolTarget>) {
        val retired = synchronized(lock) {
            val before = links
            val after = targets.associate { wanted ->
                val held = before[wanted.target]
                val kept = held?.takeIf { it.target.agentAddress == wanted.agentAddress }
                wanted.target to (kept ?: create(wanted).also { it.start(scope) })
            }
            links = after
            before.values - after.values.toSet()
        }
        retired.forEach { it.retire(scope) }
    }
}
