package org.vanilladale.core.gateway

import org.vanilladale.schema.PoolName
import org.vanilladale.schema.RouteName

/** A pool of a route and its share of the requests, relative to the other pools of the route. */
public data class WeightedPool(val pool: PoolName, val weight: Int)

/**
 * Sends requests of one host and path prefix to pools.
 *
 * @property prefix path prefix that begins and ends with a slash
 * @property goalMilliseconds time in which callers expect the answer, or the first event of a
 *   stream
 * @property gapGoalMilliseconds longest pause between events that callers accept; 0 when none is
 *   stated
 * @property timeoutMilliseconds time after which the route gives a request up
 * @property priority rank among the routes, 0 for the most urgent
 * @property maximumAttempts targets that one request is sent to at most
 * @property isPublic whether requests need no key
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

    /** Returns the pool for a request with [draw], a number in 0..<1, or null without weights. */
    public fun poolOrNull(draw: Double): PoolName? {
        var left = draw * totalWeight
        for (weighted in pools) {
            left -= weighted.weight
            if (left < 0) return weighted.pool
        }
        return null
    }
}
