package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlin.random.Random
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.GatewayRoute
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.GatewayWorkspace
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason

/** What the configuration says of a request. */
internal class AdmittedHead(
    val head: CallerHead,
    val tables: GatewayTables,
    val route: GatewayRoute,
    val pool: GatewayPool,
    val workspace: GatewayWorkspace?,
)

/** Finds route, workspace and pool of a request, or the reason why it may not run. */
internal class RequestAdmission(
    private val tables: () -> GatewayTables?,
    private val random: Random,
) {
    fun admit(head: CallerHead): Either<Refusal, AdmittedHead> = either {
        val current = tables()
        ensureNotNull(current) { Refusal(RefusalReason.NO_CONFIGURATION) }
        val route = current.routeOrNull(head.host, head.path)
        ensureNotNull(route) { Refusal(RefusalReason.NO_ROUTE, detail = head.path.take(MOST_PATH)) }
        val workspace = head.key?.let(current::workspaceOrNull)
        ensure(!current.needsKeys || route.isPublic || workspace != null) {
            Refusal(RefusalReason.UNKNOWN_KEY)
        }
        val name = route.poolOrNull(random.nextDouble())
        val pool = name?.let(current::poolOrNull)
        ensureNotNull(pool) { Refusal(RefusalReason.NO_TARGET, detail = "no pool ${name ?: ""}") }
        AdmittedHead(head, current, route, pool, workspace)
    }

    private companion object {
        const val MOST_PATH = 80
    }
}
