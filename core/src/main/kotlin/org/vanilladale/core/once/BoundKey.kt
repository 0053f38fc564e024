package org.vanilladale.core.once

import org.vanilladale.schema.RequestKey
import org.vanilladale.schema.WorkspaceId

/** Names a non-idempotent request: the workspace and the key that its caller chose. */
public data class BoundKey(val workspace: WorkspaceId, val key: RequestKey)
