package org.vanilladale.entry

import org.vanilladale.schema.Binding
import org.vanilladale.schema.PoolTarget

/**
 * A request with its binding.
 *
 * @property poolTarget target that the binding names, as the tables describe it
 */
internal data class BoundRequest(
    val plan: RequestPlan,
    val binding: Binding,
    val poolTarget: PoolTarget,
)
