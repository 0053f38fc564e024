package org.vanilladale.entry

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlin.random.Random
import org.vanilladale.core.once.BindingCodec
import org.vanilladale.core.once.BindingTargetChoice
import org.vanilladale.core.once.BoundKey
import org.vanilladale.core.once.LiveTarget
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.core.refusal.RefusalReason
import org.vanilladale.runtime.ConfigurationHolder
import org.vanilladale.schema.BindingAnswer
import org.vanilladale.schema.TargetId
import org.vanilladale.schema.Timestamp

/** Issues the bindings that callers need to send a non-idempotent request. */
internal class BindingIssuer(
    private val configuration: ConfigurationHolder,
    private val fleet: TargetFleet,
    private val router: TargetRouter,
    private val clock: () -> Timestamp,
    private val isConnected: (TargetId) -> Boolean,
) {
    /** Binds the request with [head] to a connected target of its pool. */
    fun issue(head: CallerRequestHead): Either<Refusal, BindingAnswer> = either {
        val tables = ensureNotNull(configuration.current) {
            Refusal(RefusalReason.NO_CONFIGURATION)
        }
        val route = ensureNotNull(tables.routeOrNull(head.kind)) {
            Refusal(RefusalReason.NO_ROUTE, detail = "kind '${head.kind}' has no route")
        }
        ensure(!route.idempotent) {
            val detail = "kind '${head.kind}' is idempotent and needs no binding"
            Refusal(RefusalReason.MALFORMED_REQUEST, detail = detail)
        }
        val connected = fleet.targetsOf(route.pool).filter(isConnected)
        val live = router.bindable(route.pool, connected).mapNotNull { target ->
            fleet.incarnationOrNull(target)?.let { LiveTarget(target, it) }
        }
        val binding = BindingTargetChoice.bind(
            route.pool,
            BoundKey(head.workspace, head.key),
            live,
            Random.nextLong(),
            clock().deadlineAfter(VALIDITY_MILLISECONDS),
        )
        ensureNotNull(binding) { Refusal(RefusalReason.NO_TARGET) }
        BindingAnswer(BindingCodec.encode(binding), binding.expiresAt)
    }

    private companion object {
        const val VALIDITY_MILLISECONDS = 600_000L
    }
}
