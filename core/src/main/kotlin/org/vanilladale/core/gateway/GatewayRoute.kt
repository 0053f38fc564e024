package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RouteName

/** A pool of a route with its [weight] relative to the other pools of the route. */
public data class WeightedPool(val pool: PoolName, val weight: Int)

/**
 * Maps requests for one host and path prefix to pools.
 *
 * @property prefix path prefix that begins and ends with a slash
 * @property goalMilliseconds time within which callers expect the answer, or the first event of a
 *   stream
 * @property gapGoalMilliseconds maximum gap between stream events that callers accept; 0 if the
 *   route states none
 * @property timeoutMilliseconds time after which the route abandons a request
 * @property priority priority of the requests; 0 is the most urgent
 * @property maximumAttempts maximum number of targets that one request is sent to
 * @property isPublic whether requests are accepted without a key
 */
public data class GatewayRoute(
    val name: RouteName,
    val host: String,
    val prefix: String,
    val pools: List<WeightedPool>,
    val repeat: RepeatRule,
    val goalMilliseconds: Long,
    val gapGoalMilliseconds: Long,
    val timeoutMilliseconds: Long,
    val priority: Int,
    val maximumAttempts: Int,
    val isPublic: Boolean,
) {
    private val totalWeight = pools.sumOf { it.weight }

    /**
     * Returns the pool for [draw], a random number in 0..<1, or null if the sum of the weights is
     * 0.
     */
    public fun poolOrNull(draw: Double): PoolName? {
        var left = draw * totalWeight
        for (weighted in pools) {
            left -= weighted.weight
            if (left < 0) return weighted.pool
        }
        return null
    }
}
