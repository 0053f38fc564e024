package org.vanilladale.core.once

import org.vanilladale.schema.Incarnation
import org.vanilladale.schema.TargetId

/** A live target and the incarnation of its agent, as received in the Welcome frame. */
public data class LiveTarget(val target: TargetId, val incarnation: Incarnation)
