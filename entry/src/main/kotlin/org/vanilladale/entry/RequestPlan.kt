package org.vanilladale.entry

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Route

/**
 * What the tables say about one request, with its deadline.
 *
 * @property isolated true when the request runs alone because targets crashed with it
 * @property wasWithdrawn true when an agent ended an attempt because the request became a suspect
 */
internal data class RequestPlan(
    val request: CallerRequest,
    val route: Route,
    val pool: Pool,
    val deadline: Deadline,
    val isolated: Boolean = false,
    val wasWithdrawn: Boolean = false,
) {
    /** True when a second target may get the request while the first has not answered. */
    val hedged: Boolean get() = route.hedgeBudgetPercent > 0 && !isolated
}
