package org.vanilladale.core.once

import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.WorkspaceId

/** Identifies a non-idempotent request by its workspace and the key that its caller chose. */
public data class BoundKey(val workspace: WorkspaceId, val key: RequestKey)
