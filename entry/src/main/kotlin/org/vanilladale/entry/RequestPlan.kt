package org.vanilladale.entry

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Route

/**
 * A request with the route and pool that the configuration assigns to it, and its deadline.
 *
 * @property isolated true if the request must run alone because targets crashed while running it
 * @property wasWithdrawn true if an agent ended an attempt because the request became a
 *   crash suspect
 */
internal data class RequestPlan(
    val request: CallerRequest,
    val route: Route,
    val pool: Pool,
    val deadline: Deadline,
    val isolated: Boolean = false,
    val wasWithdrawn: Boolean = false,
) {
    /** True if the request may be sent to a second target while the first has not answered. */
    val hedged: Boolean get() = route.hedgeBudgetPercent > 0 && !isolated
}
