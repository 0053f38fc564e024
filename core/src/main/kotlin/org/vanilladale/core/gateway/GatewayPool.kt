package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName

/** A pool of targets; [engine] is null if the targets are plain services, not model engines. */
public data class GatewayPool(val name: PoolName, val engine: EngineProfile?)
