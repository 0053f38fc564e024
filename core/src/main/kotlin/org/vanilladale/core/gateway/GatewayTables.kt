package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName
import org.vanilladale.schema.Revision

/**
 * One revision of the configuration. Immutable.
 *
 * @property byKey workspaces by the key of their callers; null if requests need no keys
 */
public class GatewayTables(
    public val revision: Revision,
    routes: List<GatewayRoute>,
    pools: List<GatewayPool>,
    public val limits: CallerLimits,
    private val byKey: Map<String, GatewayWorkspace>?,
) {
    private val byHost: Map<String, List<GatewayRoute>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) ->
            ofHost.sortedByDescending { it.prefix.length }
        }
    private val byName: Map<PoolName, GatewayPool> = pools.associateBy { it.name }

    /** All pools of this revision. */
    public val pools: Collection<GatewayPool> get() = byName.values

    /** Whether requests on routes that are not public must carry a key. */
    public val needsKeys: Boolean get() = byKey != null

    /**
     * Returns the route of [host] with the longest prefix that matches [path], or null if none
     * does.
     */
    public fun routeOrNull(host: String, path: String): GatewayRoute? =
        byHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the workspace to which [key] belongs, or null for an unknown key. */
    public fun workspaceOrNull(key: String): GatewayWorkspace? = byKey?.get(key)

    /** Returns the pool [name], or null if this revision does not contain it. */
    public fun poolOrNull(name: PoolName): GatewayPool? = byName[name]
}
