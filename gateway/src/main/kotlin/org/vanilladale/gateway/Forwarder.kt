package org.vanilladale.gateway

import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import org.vanilladale.core.refusal.Refusal
import org.vanilladale.schema.Timestamp

/**
 * Dependencies that the forwarders of all event loops share.
 *
 * @property refusalOfStop returns the refusal of a request that has a place and could not be
 *   answered before the process ends, or null
 */
internal class ForwarderDependencies(
    val dispatcher: PoolDispatcher,
    val budget: FleetRetryBudget,
    val suspects: CrashWatch,
    val log: GatewayLog,
    val metrics: GatewayMetrics,
    val clock: () -> Timestamp,
    val refusalOfStop: (ForwardedRequest) -> Refusal?,
)

/** Sends requests to targets until their callers have an answer or a refusal; see [Forwarding]. */
internal class Forwarder(
    private val shared: ForwarderDependencies,
    private val attempts: AttemptRunner,
) {
    /** Returns null when the caller has received an answer, or else the refusal to send. */
    suspend fun run(request: ForwardedRequest, answer: CallerAnswer): Refusal? = coroutineScope {
        shared.budget.countRequest(request.pool.name)
        Forwarding(shared, attempts, request, answer, this).run().also {
            coroutineContext.cancelChildren()
        }
    }
}
