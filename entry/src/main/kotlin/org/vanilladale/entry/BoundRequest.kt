package org.vanilladale.entry

import org.vanilladale.schema.Binding
import org.vanilladale.schema.PoolTarget

/**
 * A request with its binding to one incarnation of a target.
 *
 * @property poolTarget entry of the configuration tables for the target of the binding
 */
internal data class BoundRequest(
    val plan: RequestPlan,
    val binding: Binding,
    val poolTarget: PoolTarget,
)
