package org.vanilladale.gateway

import io.vertx.core.MultiMap
import org.vanilladale.core.gateway.CallerRequestId
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.WorkspaceId

/**
 * Values that a target receives in the headers of a request.
 *
 * @property callerHeaders headers as the caller sent them
 * @property remainingMilliseconds time that the target has for the request
 * @property resumeAfter id of the last event that the caller has received
 * @property priority priority for the target's own queue, 0 is the most urgent; null to state none
 */
public class ForwardedHead(
    public val callerHeaders: MultiMap,
    public val request: CallerRequestId,
    public val target: TargetId,
    public val workspace: WorkspaceId?,
    public val remainingMilliseconds: Long,
    public val resumeAfter: Long?,
    public val priority: Int? = null,
)
