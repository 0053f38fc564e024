package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName

/**
 * A pool of targets.
 *
 * @property engine cost model of the targets; null if they are plain services, not model engines
 * @property cold limits of targets that have just started; null if they are never cold
 */
public data class GatewayPool(
    val name: PoolName,
    val engine: EngineProfile?,
    val cold: ColdProfile? = null,
)
