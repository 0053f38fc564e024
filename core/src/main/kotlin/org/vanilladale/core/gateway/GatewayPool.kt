package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName

/** A pool of targets; [engine] is null for a plain service. */
public data class GatewayPool(val name: PoolName, val engine: EngineProfile?)
