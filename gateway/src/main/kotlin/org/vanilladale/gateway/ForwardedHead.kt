package org.vanilladale.gateway

import io.vertx.core.MultiMap
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId

/**
 * What a target is told beside the caller's own headers.
 *
 * @property callerHeaders headers as the caller sent them
 * @property remainingMilliseconds time for which the target may work
 * @property resumeAfter id of the last event that the caller holds
 */
public class ForwardedHead(
    public val callerHeaders: MultiMap,
    public val request: CallerRequestId,
    public val target: TargetId,
    public val workspace: WorkspaceId?,
    public val remainingMilliseconds: Long,
    public val resumeAfter: Long?,
)
