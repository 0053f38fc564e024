package org.vanilladale.entry

import org.vanilladale.schema.Binding
import org.vanilladale.schema.PoolTarget

/**
 * A request with its binding.
 *
 * @property place target that the binding names, as the tables describe it
 */
internal data class BoundOrder(val plan: RequestPlan, val binding: Binding, val place: PoolTarget)
