package org.vanilladale.core.gateway

import org.vanilladale.schema.WorkspaceId

/** A workspace; its [priority], if not null, overrides that of the route. */
public data class GatewayWorkspace(val id: WorkspaceId, val priority: Int?)
