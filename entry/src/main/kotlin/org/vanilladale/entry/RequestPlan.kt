package org.vanilladale.entry

import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Pool
import org.vanilladale.schema.Route

/**
 * What the tables say about one request, with its deadline.
 *
 * @property isolated true when the request runs alone because targets crashed with it
 */
internal data class RequestPlan(
    val request: CallerRequest,
    val route: Route,
    val pool: Pool,
    val deadline: Deadline,
    val isolated: Boolean = false,
)
