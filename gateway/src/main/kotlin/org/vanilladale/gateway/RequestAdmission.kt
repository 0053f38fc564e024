package org.vanilladale.gateway

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlin.random.Random
import org.vanilladale.core.gateway.FirstAttempts
import org.vanilladale.core.gateway.GatewayPool
import org.vanilladale.core.gateway.GatewayRoute
import org.vanilladale.core.gateway.GatewayTables
import org.vanilladale.core.gateway.GatewayWorkspace
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.core.shard.Locked
import org.vanilladale.schema.Deadline
import org.vanilladale.schema.Timestamp

/** An admitted request with its route, pool and workspace in the configuration. */
internal class AdmittedHead(
    val head: CallerHead,
    val tables: GatewayTables,
    val route: GatewayRoute,
    val pool: GatewayPool,
    val workspace: GatewayWorkspace?,
)

/**
 * Determines the route, workspace and pool of a request, or the reason to refuse it.
 *
 * @param isOutdated whether a peer has a newer configuration than the given one. It may hold a
 *   route or key that is unknown here, and callers do not repeat a request after 401 or 404.
 */
internal class RequestAdmission(
    private val tables: () -> GatewayTables?,
    private val isOutdated: (GatewayTables) -> Boolean,
    private val random: Random,
) {
    private val firstAttempts = Locked(FirstAttempts())

    /** Returns the estimated time of the caller's first attempt; see [FirstAttempts]. */
    fun firstAttempt(route: GatewayRoute, arrivedAt: Timestamp, deadline: Deadline): Timestamp =
        firstAttempts.use { it.estimate(route.name, arrivedAt, deadline) }

    fun admit(head: CallerHead, now: Timestamp): Either<Refusal, AdmittedHead> = either {
        val current = tables()
        ensureNotNull(current) { Refusal(RefusalReason.NO_CONFIGURATION) }
        val route = current.routeOrNull(head.host, head.path)
        ensureNotNull(route) {
            val path = head.path.take(MAX_LOGGED_PATH_CHARACTERS)
            refuseUnknown(current, Refusal(RefusalReason.NO_ROUTE, detail = path), now)
        }
        val workspace = head.key?.let(current::workspaceOrNull)
        ensure(!current.needsKeys || route.isPublic || workspace != null) {
            refuseUnknown(current, Refusal(RefusalReason.UNKNOWN_KEY), now)
        }
        val poolName = route.poolOrNull(random.nextDouble())
        val pool = poolName?.let(current::poolOrNull)
        ensureNotNull(pool) {
            Refusal(RefusalReason.NO_TARGET, detail = "no pool ${poolName ?: ""}")
        }
        AdmittedHead(head, current, route, pool, workspace)
    }

    private fun refuseUnknown(current: GatewayTables, refusal: Refusal, now: Timestamp) =
        if (isOutdated(current)) {
            Refusal(
                RefusalReason.NO_CONFIGURATION,
                detail = "a peer has a newer configuration: ${refusal.reason.code}",
                retryAt = now.deadlineAfter(RETRY_AFTER_MILLISECONDS),
            )
        } else {
            refusal
        }

    private companion object {
        /** Another entry, which the caller uses next, most likely has the configuration. */
        const val RETRY_AFTER_MILLISECONDS = 50L
        const val MAX_LOGGED_PATH_CHARACTERS = 80
    }
}
